Feature: Programs survive the failure of instances

  Background:
    Given a deployment of 3 instances
    And engines that generate a token every 2 ms
    And all cells are fully replicated
    And a program

  Scenario: No turn is lost when the leader is killed
    When step 1 sends "one" through instance 1
    And instance 1 is killed
    And step 2 sends "two" through instance 2
    Then the response text is "I have read 3 messages; the last says: two"
    And the history has 2 steps through instance 3
    And the engines received 2 requests

  Scenario: The new leader retries a model call that was in flight
    When instance 1 is killed while step 1 is in flight
    Then the response has status 200
    And the history has 1 steps through instance 3

  Scenario: The new leader does not retry a non-idempotent call
    When instance 1 is killed while step 1 reserves "cone-17"
    Then the response is 504 "outcome_unknown" with the verdict "may_have_run"
    When step 1 reserves "cone-17" through instance 3
    Then the response is 504 "outcome_unknown" with the verdict "may_have_run"
    And the service executed 0 requests

  Scenario: An instance without persistent storage rejoins after a restart
    When step 1 sends "one" through instance 1
    And instance 2 is killed
    And instance 2 is restarted
    And the cells are fully replicated again
    And instance 1 is killed
    And step 2 sends "two" through instance 3
    Then the response text is "I have read 3 messages; the last says: two"

  Scenario: A graceful shutdown transfers the leadership of the cell
    When step 1 sends "one" through instance 1
    And instance 1 is shut down
    And step 2 sends "two" through instance 2
    Then the response text is "I have read 3 messages; the last says: two"
