Feature: Links between instances use TLS

  Scenario: A cell with TLS links survives the loss of an instance
    Given a deployment of 3 instances
    And links secured with TLS certificates
    And all cells are fully replicated
    And a program
    When step 1 sends "one" through instance 2
    And instance 1 is killed
    And step 2 sends "two" through instance 3
    Then the response text is "I have read 3 messages; the last says: two"
