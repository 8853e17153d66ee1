Feature: Programs keep their order, history and budget

  Scenario: Turns through different instances make one conversation
    Given a deployment of 2 instances
    And a program
    When step 1 says "one" through instance 1
    Then the answer says "I have read 1 messages; the last says: one"
    When step 2 says "two" through instance 2
    Then the answer says "I have read 3 messages; the last says: two"
    And the history has 2 steps
    And no endpoint saw a key

  Scenario: The same step again is the same call
    Given a deployment of 2 instances
    And a program
    When step 1 says "one" through instance 1
    Then the answer is noted
    When step 1 says "one" through instance 2
    Then the answer has the status 200
    And the engines were asked 1 time
    When the caller reads step 1 through instance 2
    Then the answer says "I have read 1 messages; the last says: one"

  Scenario: The same step with another body is a conflict
    Given a program
    When step 1 says "one" through instance 1
    And step 1 says "other" through instance 1
    Then the answer is 409 "step_conflict" with the verdict "not_run"
    And the history has 1 steps

  Scenario: A skipped step is refused
    Given a program
    When step 2 says "two" through instance 1
    Then the answer is 409 "step_skipped" with the verdict "not_run"
    And the engines were asked 0 times

  Scenario: A budget is reserved before and settled after a call
    Given a program with a budget of 1000 tokens and 2 calls
    When step 1 says "one" through instance 1
    Then 989 tokens and 1 calls are left
    When step 2 says "two" through instance 1
    Then the answer has the status 200
    When step 3 says "three" through instance 1
    Then the answer is 429 "budget_exhausted" with the verdict "not_run"
    And the engines were asked 2 times

  Scenario: A call that could exceed the budget is not sent
    Given a program with a budget of 60 tokens and 10 calls
    When step 1 says "one" through instance 1
    Then the answer is 429 "budget_exhausted" with the verdict "not_run"
    And 60 tokens and 10 calls are left
    And the engines were asked 0 times

  Scenario: Loops end at the turn limit
    Given programs of the workspace have at most 1 turns
    And a program
    When step 1 says "one" through instance 1
    And step 2 says "two" through instance 1
    Then the answer is 429 "turn_limit" with the verdict "not_run"

  Scenario: An ended program takes no more steps and holds no engine memory
    Given a program
    When step 1 says "one two three four five six seven eight nine ten eleven twelve thirteen" through instance 1
    And the caller ends the program
    Then no engine holds memory
    When step 2 says "two" through instance 1
    Then the answer is 409 "program_ended" with the verdict "not_run"

  Scenario: A program of one call ends with it
    When a caller says "hello" without a program
    Then the answer says "I have read 1 messages; the last says: hello"
    And no engine holds memory

  Scenario: The openai library works unchanged
    Given a program
    When step 1 is streamed with the openai library
    Then the streamed text is "I have read 1 messages; the last says: stream to me" and the stream is whole
    When the openai library asks for a tool call
    Then the tool call is whole
