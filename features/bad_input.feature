Feature: Bad input is refused, charges nothing and harms nobody

  Scenario Outline: A chat body that is <flaw>
    Given a program
    When a caller posts a body that is "<flaw>"
    Then the answer is 400 "bad_request" with the verdict "not_run"
    And the next request on the same connection is served
    And the engines were asked 0 times

    Examples:
      | flaw               |
      | empty              |
      | malformed          |
      | cut in the middle  |
      | not UTF-8          |
      | an array           |
      | without messages   |
      | with no message    |
      | of wrong types     |
      | with a strange role|
      | with bare text     |
      | nested too deeply  |
      | nested in content  |
      | asking two answers |
      | negative           |

  Scenario Outline: Names that do not exist: <path>
    When the caller calls "<method>" "<path>"
    Then the answer is <status> "<code>" with the verdict "not_run"

    Examples:
      | method | path                                | status | code               |
      | GET    | /v1/programs/nothing                | 404    | unknown_program    |
      | GET    | /v1/programs/p.entry-1.x            | 404    | unknown_program    |
      | GET    | /v1/programs/p.entry-9.x            | 404    | unknown_program    |
      | GET    | /v1/programs/p.entry-1.x/steps/1    | 404    | unknown_program    |
      | GET    | /v1/programs/p.entry-1.x/steps/zero | 400    | bad_request        |
      | DELETE | /v1/programs/p.entry-1.x            | 404    | unknown_program    |
      | GET    | /v1/services/none/x                 | 404    | unknown_service    |
      | GET    | /v1/services/conseil-lm/x           | 404    | unknown_service    |
      | GET    | /v1/nothing                         | 404    | not_found          |
      | PATCH  | /v1/programs                        | 405    | method_not_allowed |

  Scenario: An unknown model
    When a caller asks the model "none"
    Then the answer is 404 "unknown_model" with the verdict "not_run"

  Scenario: An unknown step of a known program
    Given a program
    When the caller reads step 7 through instance 1
    Then the answer is 404 "unknown_step" with the verdict "not_run"

  Scenario: An oversize body, announced or not
    Given a limit of 1000 bytes for bodies
    When a caller says 2000 bytes without a program
    Then the answer is 413 "body_too_large" with the verdict "not_run"
    When a caller says 2000 bytes in chunks
    Then the raw answer has the status 413
    And the engines were asked 0 times

  Scenario: Oversize headers
    When a caller sends headers of 40000 bytes
    Then the raw answer has the status 431

  Scenario: Slow callers are cut off
    Given callers have 50 ms for headers and for bodies
    When a caller sends half of its headers and no more
    Then the raw answer has the status 408
    When a caller sends half of its body and no more
    Then the raw answer has the status 408
    And the engines were asked 0 times

  Scenario: A body that is cut short runs nothing
    Given a program with a budget of 1000 tokens and 2 calls
    When a caller sends half of its body and closes
    Then 1000 tokens and 2 calls are left
    And the engines were asked 0 times

  Scenario: Hostile bytes and bodies
    When hostile bytes are sent many times
    Then every one was refused or dropped
    When hostile bodies are sent many times
    Then every one was refused or dropped
    When a caller says "hello" without a program
    Then the answer says "I have read 1 messages; the last says: hello"
