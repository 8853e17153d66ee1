Feature: Faults at every point of a call

  Scenario Outline: <fault> at the point "<point>" of a model call
    Given a deployment of 3 instances with a network proxy and persistent storage
    And engines that generate a token every 2 ms
    And all cells are fully replicated
    And a program
    When <fault> at the point "<point>" of the next call
    And a caller retries step 1 "one" until it completes, starting at instance 2
    And a caller retries step 2 "two" until it completes, starting at instance 3
    Then the fault was injected
    And step 2 received 3 messages and 2 calls were charged
    When the network partition is healed
    Then every running instance returns the same 2 steps

    Examples:
      | fault                       | point            |
      | its leader dies             | admission        |
      | its leader dies             | intent appended  |
      | its leader dies             | intent acked     |
      | its leader dies             | sent             |
      | its leader dies             | first token      |
      | its leader dies             | mid-stream       |
      | its leader dies             | outcome appended |
      | its leader dies             | outcome acked    |
      | its leader is cut off       | admission        |
      | its leader is cut off       | intent appended  |
      | its leader is cut off       | intent acked     |
      | its leader is cut off       | sent             |
      | its leader is cut off       | first token      |
      | its leader is cut off       | mid-stream       |
      | its leader is cut off       | outcome appended |
      | its leader is cut off       | outcome acked    |
      | its leader hears nobody     | admission        |
      | its leader hears nobody     | intent appended  |
      | its leader hears nobody     | intent acked     |
      | its leader hears nobody     | first token      |
      | its leader hears nobody     | mid-stream       |
      | its leader hears nobody     | outcome appended |
      | its leader hears nobody     | outcome acked    |
      | nobody hears its leader     | admission        |
      | nobody hears its leader     | intent appended  |
      | nobody hears its leader     | intent acked     |
      | nobody hears its leader     | first token      |
      | nobody hears its leader     | mid-stream       |
      | nobody hears its leader     | outcome appended |
      | nobody hears its leader     | outcome acked    |
      | its open links fall silent  | admission        |
      | its open links fall silent  | intent appended  |
      | its open links fall silent  | intent acked     |
      | its open links fall silent  | mid-stream       |
      | its open links fall silent  | outcome appended |
      | the disk of its leader fails | intent appended  |
      | the disk of its leader fails | mid-stream       |
      | the disk of its leader fails | outcome appended |
      | another replica dies        | admission        |
      | another replica dies        | intent appended  |
      | another replica dies        | intent acked     |
      | another replica dies        | mid-stream       |
      | another replica dies        | outcome appended |

  Scenario Outline: <fault> at the point "<point>" of a call that must not be repeated
    Given a deployment of 3 instances with a network proxy and persistent storage
    And all cells are fully replicated
    And a program
    When <fault> at the point "<point>" of the next call
    And a caller retries the reservation of "cone-17" until its outcome is final, starting at instance 2
    And a caller retries the reservation of "cone-17" until its outcome is final, starting at instance 3
    Then the fault was injected
    And the reservation ran at most once and never after the verdict "not_run"
    And both callers received the same outcome

    Examples:
      | fault                       | point            |
      | its leader dies             | admission        |
      | its leader dies             | intent appended  |
      | its leader dies             | intent acked     |
      | its leader dies             | sent             |
      | its leader dies             | first token      |
      | its leader dies             | outcome appended |
      | its leader dies             | outcome acked    |
      | its leader is cut off       | admission        |
      | its leader is cut off       | intent appended  |
      | its leader is cut off       | intent acked     |
      | its leader is cut off       | sent             |
      | its leader is cut off       | first token      |
      | its leader is cut off       | outcome appended |
      | its leader is cut off       | outcome acked    |
      | its leader hears nobody     | intent appended  |
      | its leader hears nobody     | intent acked     |
      | its leader hears nobody     | outcome appended |
      | nobody hears its leader     | intent appended  |
      | nobody hears its leader     | intent acked     |
      | nobody hears its leader     | outcome appended |
      | its open links fall silent  | intent appended  |
      | its open links fall silent  | outcome appended |
      | the disk of its leader fails | intent appended  |
      | the disk of its leader fails | outcome appended |
      | another replica dies        | intent appended  |
      | another replica dies        | outcome appended |
