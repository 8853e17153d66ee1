Feature: Programs enforce step order, history and budget

  Scenario: Turns through different instances form one conversation
    Given a deployment of 2 instances
    And a program
    When step 1 sends "one" through instance 1
    Then the response text is "I have read 1 messages; the last says: one"
    When step 2 sends "two" through instance 2
    Then the response text is "I have read 3 messages; the last says: two"
    And the history has 2 steps
    And no endpoint received an API key

  Scenario: A repeated step returns the recorded response
    Given a deployment of 2 instances
    And a program
    When step 1 sends "one" through instance 1
    Then the response is saved
    When step 1 sends "one" through instance 2
    Then the response has status 200
    And the engines received 1 request
    When the caller reads step 1 through instance 2
    Then the response text is "I have read 1 messages; the last says: one"

  Scenario: The same step with another body is a conflict
    Given a program
    When step 1 sends "one" through instance 1
    And step 1 sends "other" through instance 1
    Then the response is 409 "step_conflict" with the verdict "not_run"
    And the history has 1 steps

  Scenario: A skipped step is refused
    Given a program
    When step 2 sends "two" through instance 1
    Then the response is 409 "step_skipped" with the verdict "not_run"
    And the engines received 0 requests

  Scenario: A budget is reserved before a call and settled after it
    Given a program with a budget of 1000 tokens and 2 calls
    When step 1 sends "one" through instance 1
    Then the remaining budget is 989 tokens and 1 calls
    When step 2 sends "two" through instance 1
    Then the response has status 200
    When step 3 sends "three" through instance 1
    Then the response is 429 "budget_exhausted" with the verdict "not_run"
    And the engines received 2 requests

  Scenario: A call that could exceed the budget is not sent
    Given a program with a budget of 60 tokens and 10 calls
    When step 1 sends "one" through instance 1
    Then the response is 429 "budget_exhausted" with the verdict "not_run"
    And the remaining budget is 60 tokens and 10 calls
    And the engines received 0 requests

  Scenario: A program is refused further turns at the turn limit
    Given a limit of 1 turns per program
    And a program
    When step 1 sends "one" through instance 1
    And step 2 sends "two" through instance 1
    Then the response is 429 "turn_limit" with the verdict "not_run"

  Scenario: An ended program accepts no steps and releases its session cache
    Given a program
    When step 1 sends "one two three four five six seven eight nine ten eleven twelve thirteen" through instance 1
    And the caller ends the program
    Then no engine holds session cache blocks
    When step 2 sends "two" through instance 1
    Then the response is 409 "program_ended" with the verdict "not_run"

  Scenario: A single-call program ends with its call
    When a caller sends "hello" without a program
    Then the response text is "I have read 1 messages; the last says: hello"
    And no engine holds session cache blocks

  Scenario: The openai library works without changes
    Given a program
    When step 1 is streamed with the openai library
    Then the streamed text is "I have read 1 messages; the last says: stream to me" and the stream is complete
    When the openai library requests a tool call
    Then the tool call is complete
