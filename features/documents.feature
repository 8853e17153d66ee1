Feature: An accepted document becomes active everywhere and stays active

  Background:
    Given a deployment of 3 instances
    And all cells are fully replicated

  Scenario: A key is withdrawn and granted on every instance
    When an operator applies revision 2 without the key of "medina" through instance 2
    Then the outcome is "accepted" with revision 2
    And revision 2 becomes active on every instance
    When the caller reads an unknown program through every instance
    Then every response is 401 "key_unknown"
    When an operator applies revision 3 with the key of "medina" through instance 3
    And revision 3 becomes active on every instance
    And the caller reads an unknown program through every instance
    Then every response is 404 "unknown_program"

  Scenario: Only the next revision is accepted
    When an operator applies revision 2 with the key of "medina" through instance 1
    And an operator applies revision 2 with the key of "medina" through instance 2
    Then the outcome is "same" with revision 2
    When an operator applies revision 2 without the key of "medina" through instance 3
    Then the outcome is "conflict" with revision 2
    When an operator applies revision 1 with the key of "medina" through instance 3
    Then the outcome is "conflict" with revision 2
    When an operator applies revision 9 with the key of "medina" through instance 3
    Then the outcome is "conflict" with revision 2

  Scenario: One of several concurrent documents is accepted
    When 6 operators apply different documents of revision 2 concurrently
    Then one document was accepted and the others were refused as conflicts
    And every instance has the same active document

  Scenario: A restarted instance does not return to an earlier document
    When an operator applies revision 2 without the key of "medina" through instance 1
    And revision 2 becomes active on every instance
    And instance 3 is killed
    And instance 3 is restarted
    And the caller reads an unknown program through instance 3
    Then every response is 401 "key_unknown"

  Scenario: Documents can be applied after the control leader is killed
    When the leader of the control group is killed
    And an operator applies revision 2 without the key of "medina" through a running instance
    Then the outcome is "accepted" with revision 2
    And revision 2 becomes active on every running instance

  Scenario: Invalid or unauthorized documents change nothing
    When an operator applies a document with two validation errors
    Then the response has status 400 and lists 2 validation errors
    When a document is applied with a workspace key
    Then the response has status 401
    And every instance has the same active document
