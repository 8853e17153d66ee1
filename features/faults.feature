Feature: Calls survive endpoint faults

  Scenario Outline: A model call gives the whole answer in spite of <fault>
    Given a program
    And "engine-1" injects the fault "<fault>" once
    And "engine-2" injects the fault "<fault>" once
    When step 1 sends "one" through instance 1
    Then the response text is "I have read 1 messages; the last says: one"
    And the history has 1 steps

    Examples:
      | fault  |
      | refuse |
      | reset  |
      | crash  |
      | cut    |
      | late   |
      | slow   |

  Scenario: A cut stream is resumed where it was cut
    Given 1 engine
    And a program
    And "engine-1" closes the connection after 300 bytes of its next response
    When step 1 is streamed with the openai library
    Then the streamed text is "I have read 1 messages; the last says: stream to me" and the stream is complete
    And the engines received 1 request
    And instance 1 counted "stream.resumed" 1 time

  Scenario: A stream that cannot be resumed is made again and stays whole
    Given a program
    And "engine-1" closes the connection after 300 bytes of its next response
    And "engine-1" refuses to resume streams
    When step 1 is streamed with the openai library
    Then the streamed text is "I have read 1 messages; the last says: stream to me" and the stream is complete
    And the engines received 2 requests

  Scenario Outline: A call that must not be repeated is sent once in spite of <fault>
    Given a program
    And "atelier-1" injects the fault "<fault>" once
    When step 1 reserves "cone-17" through instance 1
    Then the response is 504 "outcome_unknown" with the verdict "may_have_run"
    And the service executed <executions> request
    When step 1 reserves "cone-17" through instance 1
    Then the response is 504 "outcome_unknown" with the verdict "may_have_run"
    And the service executed <executions> request

    Examples:
      | fault | executions |
      | reset | 0          |
      | cut   | 1          |

  Scenario: An endpoint that accepts and stays silent may have run the call
    Given a manual clock
    And "atelier-1" injects the fault "silent" once
    When a caller orders "cone-17" and "atelier-1" sends no response
    Then the response is 504 "outcome_unknown" with the verdict "may_have_run"

  Scenario: A resend with an idempotency key meets the same record
    Given a deployment of 2 instances
    When the caller orders "cone-17" with the idempotency key "k1" through instance 1
    Then the response is saved
    When the caller orders "cone-17" with the idempotency key "k1" through instance 2
    Then the response equals the saved response
    And the service executed 1 request
    When the caller orders "cone-18" with the idempotency key "k1" through instance 2
    Then the response is 409 "step_conflict" with the verdict "not_run"

  Scenario: A leaving endpoint gets no new work
    Given the instance list marks "engine-1" as leaving
    And a program
    When step 1 sends "one" through instance 1
    Then "engine-1" received 0 requests
    And "engine-2" received 1 requests

  Scenario: A caller that goes away cancels the engine's work
    Given engines that generate a token every 1 ms
    When the caller disconnects during a call
    Then all engines become idle

  Scenario: A step of a program is kept when its caller goes away
    Given engines that generate a token every 1 ms
    And a program
    When the caller disconnects during a step
    Then an engine is still generating for the program
    When the caller ends the program
    Then all engines become idle

  Scenario: A planned stop cuts no request
    Given engines that generate a token every 1 ms
    When instance 1 is shut down during a call
    Then the response has status 200
