Feature: Malformed requests are refused without side effects

  Scenario Outline: A chat body that is <flaw> is refused
    Given a program
    When a caller posts a body that is "<flaw>"
    Then the response is 400 "bad_request" with the verdict "not_run"
    And the next request on the same connection is served
    And the engines received 0 requests

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

  Scenario Outline: The path <path> is refused
    When the caller sends "<method>" "<path>"
    Then the response is <status> "<code>" with the verdict "not_run"

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

  Scenario: A request for an unknown model is refused
    When a caller requests the model "none"
    Then the response is 404 "unknown_model" with the verdict "not_run"

  Scenario: Reading an unknown step of a program is refused
    Given a program
    When the caller reads step 7 through instance 1
    Then the response is 404 "unknown_step" with the verdict "not_run"

  Scenario: An oversize body is refused with and without a content length
    Given a limit of 1000 bytes for request bodies
    When a caller sends a message of 2000 bytes without a program
    Then the response is 413 "body_too_large" with the verdict "not_run"
    When a caller sends a body of 2000 bytes in chunked encoding
    Then the raw response has status 413
    And the engines received 0 requests

  Scenario: Oversize headers are refused
    When a caller sends headers of 40000 bytes
    Then the raw response has status 431

  Scenario: Slow requests time out
    Given time-outs of 50 ms for request headers and bodies
    When a caller sends incomplete headers and keeps the connection open
    Then the raw response has status 408
    When a caller sends an incomplete body and keeps the connection open
    Then the raw response has status 408
    And the engines received 0 requests

  Scenario: A truncated body starts no call and charges nothing
    Given a program with a budget of 1000 tokens and 2 calls
    When a caller sends an incomplete body and closes the connection
    Then the remaining budget is 1000 tokens and 2 calls
    And the engines received 0 requests

  Scenario: Random bytes and bodies are refused
    When random bytes are sent as requests
    Then every request was refused or its connection closed
    When random bodies are sent as chat requests
    Then every request was refused or its connection closed
    When a caller sends "hello" without a program
    Then the response text is "I have read 1 messages; the last says: hello"
