Feature: Faults of endpoints

  Scenario Outline: A model call gives the whole answer in spite of <fault>
    Given a program
    And "engine-1" shows the fault "<fault>" once
    And "engine-2" shows the fault "<fault>" once
    When step 1 says "one" through instance 1
    Then the answer says "I have read 1 messages; the last says: one"
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
    And "engine-1" cuts its next answer after 300 bytes
    When step 1 is streamed with the openai library
    Then the streamed text is "I have read 1 messages; the last says: stream to me" and the stream is whole
    And the engines were asked 1 time
    And instance 1 counted "stream.resumed" 1 time

  Scenario: A stream that cannot be resumed is made again and stays whole
    Given a program
    And "engine-1" cuts its next answer after 300 bytes
    And "engine-1" forgets its streams
    When step 1 is streamed with the openai library
    Then the streamed text is "I have read 1 messages; the last says: stream to me" and the stream is whole
    And the engines were asked 2 times

  Scenario Outline: A call that must not be repeated is sent once in spite of <fault>
    Given a program
    And "atelier-1" shows the fault "<fault>" once
    When step 1 reserves "cone-17" through instance 1
    Then the answer is 504 "outcome_unknown" with the verdict "may_have_run"
    And the service carried out <executions> request
    When step 1 reserves "cone-17" through instance 1
    Then the answer is 504 "outcome_unknown" with the verdict "may_have_run"
    And the service carried out <executions> request

    Examples:
      | fault | executions |
      | reset | 0          |
      | cut   | 1          |

  Scenario: An endpoint that accepts and stays silent may have run the call
    Given a clock that the scenario moves
    And "atelier-1" shows the fault "silent" once
    When a caller orders "cone-17" and "atelier-1" stays silent
    Then the answer is 504 "outcome_unknown" with the verdict "may_have_run"

  Scenario: A resend with an idempotency key meets the same record
    Given a deployment of 2 instances
    When the caller orders "cone-17" with the idempotency key "k1" through instance 1
    Then the answer is noted
    When the caller orders "cone-17" with the idempotency key "k1" through instance 2
    Then the answer is the same as before
    And the service carried out 1 request
    When the caller orders "cone-18" with the idempotency key "k1" through instance 2
    Then the answer is 409 "step_conflict" with the verdict "not_run"

  Scenario: A leaving endpoint gets no new work
    Given the platform says that "engine-1" is leaving
    And a program
    When step 1 says "one" through instance 1
    Then "engine-1" was asked 0 times
    And "engine-2" was asked 1 times

  Scenario: A caller that goes away cancels the engine's work
    Given engines that give a token every 1 ms
    When the caller goes away in the middle of a call
    Then no engine works for the caller any more

  Scenario: A step of a program is kept when its caller goes away
    Given engines that give a token every 1 ms
    And a program
    When the caller goes away in the middle of a step
    Then an engine still works for the program
    When the caller ends the program
    Then no engine works for the caller any more

  Scenario: A planned stop cuts no request
    Given engines that give a token every 1 ms
    When a call is under way and instance 1 is told to stop
    Then the answer has the status 200
