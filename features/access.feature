Feature: API keys, workspaces and rate limits

  Scenario: Requests without a known key are refused
    When a caller without a key sends "GET" "/v1/programs/x"
    Then the response is 401 "key_missing" with the verdict "not_run"
    When a caller with the key "wrong" sends "GET" "/v1/programs/x"
    Then the response is 401 "key_unknown" with the verdict "not_run"

  Scenario: A program of another workspace is reported as unknown
    Given a program
    When the program is read with the key of another workspace
    Then the response is 404 "unknown_program" with the verdict "not_run"

  Scenario: Only open routes accept requests without a key
    When a caller without a key sends "GET" "/v1/services/atelier-app/hours/today"
    Then the response has status 200
    When a caller without a key sends "POST" "/v1/services/atelier-app/hours"
    Then the response is 401 "key_missing" with the verdict "not_run"
    When a caller without a key sends "GET" "/v1/services/atelier-app/hours/../orders"
    Then the response is 400 "bad_request" with the verdict "not_run"
    When a caller without a key sends "GET" "/v1/services/atelier-app/hours/%2e%2e/orders"
    Then the response is 400 "bad_request" with the verdict "not_run"
    And the service executed 1 request

  Scenario: A request that contains its key outside the header is refused
    When a caller sends "my key is key-medina" without a program
    Then the response is 400 "key_in_request" with the verdict "not_run"
    When the caller sends "GET" "/v1/services/atelier-app/forms?key=key-medina"
    Then the response is 400 "key_in_request" with the verdict "not_run"
    And the service executed 0 requests
    And the engines received 0 requests

  Scenario: The burst limit applies across all instances
    Given a deployment of 2 instances
    And rate loans last 2000 ms
    And workspace "medina" has a rate of 1000000 and a burst of 7
    When a caller sends 4 concurrent requests through 2 instances
    Then 4 requests were admitted and the others were rate-limited
    When an operator sets workspace "medina" to a rate of 0.001 and a burst of 7
    And revision 2 becomes active on every instance
    And a caller sends 20 concurrent requests through 2 instances
    Then 7 requests were admitted and the others were rate-limited
    And the engines received 11 requests
