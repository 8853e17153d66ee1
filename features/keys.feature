Feature: Links between instances have keys

  Scenario: Instances that trust each other by certificates serve and survive
    Given a deployment of 3 instances
    And links with certificates
    And all cells are at full strength
    And a program
    When step 1 says "one" through instance 2
    And instance 1 is killed
    And step 2 says "two" through instance 3
    Then the answer says "I have read 3 messages; the last says: two"
