Feature: Programs survive the loss of instances

  Background:
    Given a deployment of 3 instances
    And engines that give a token every 2 ms
    And all cells are at full strength
    And a program

  Scenario: A killed leader loses no turn
    When step 1 says "one" through instance 1
    And instance 1 is killed
    And step 2 says "two" through instance 2
    Then the answer says "I have read 3 messages; the last says: two"
    And the history has 2 steps through instance 3
    And the engines were asked 2 times

  Scenario: A model call under way is made again by the new leader
    When instance 1 is killed while step 1 is under way
    Then the answer has the status 200
    And the history has 1 steps through instance 3

  Scenario: A call that must not be repeated is not sent by the new leader
    When instance 1 is killed while step 1 reserves "cone-17"
    Then the answer is 504 "outcome_unknown" with the verdict "may_have_run"
    When step 1 reserves "cone-17" through instance 3
    Then the answer is 504 "outcome_unknown" with the verdict "may_have_run"
    And the service carried out 0 requests

  Scenario: An instance without a disk comes back without memory
    When step 1 says "one" through instance 1
    And instance 2 is killed
    And instance 2 is started again
    And the cells are repaired
    And instance 1 is killed
    And step 2 says "two" through instance 3
    Then the answer says "I have read 3 messages; the last says: two"

  Scenario: A planned stop hands the cell over
    When step 1 says "one" through instance 1
    And instance 1 is told to stop
    And step 2 says "two" through instance 2
    Then the answer says "I have read 3 messages; the last says: two"
