Feature: Keys, workspaces and limits

  Scenario: Without a key nothing runs
    When a caller without a key calls "GET" "/v1/programs/x"
    Then the answer is 401 "key_missing" with the verdict "not_run"
    When a caller with the key "wrong" calls "GET" "/v1/programs/x"
    Then the answer is 401 "key_unknown" with the verdict "not_run"

  Scenario: Another workspace's program looks like none
    Given a program
    When another workspace reads the program
    Then the answer is 404 "unknown_program" with the verdict "not_run"

  Scenario: Open routes need no key, others do
    When a caller without a key calls "GET" "/v1/services/atelier-app/hours/today"
    Then the answer has the status 200
    When a caller without a key calls "POST" "/v1/services/atelier-app/hours"
    Then the answer is 401 "key_missing" with the verdict "not_run"
    When a caller without a key calls "GET" "/v1/services/atelier-app/hours/../orders"
    Then the answer is 400 "bad_request" with the verdict "not_run"
    When a caller without a key calls "GET" "/v1/services/atelier-app/hours/%2e%2e/orders"
    Then the answer is 400 "bad_request" with the verdict "not_run"
    And the service carried out 1 request

  Scenario: A key in the request itself goes no further
    When a caller says "my key is key-medina" without a program
    Then the answer is 400 "key_in_request" with the verdict "not_run"
    When the caller calls "GET" "/v1/services/atelier-app/forms?key=key-medina"
    Then the answer is 400 "key_in_request" with the verdict "not_run"
    And the service carried out 0 requests
    And the engines were asked 0 times

  Scenario: The burst counts over all instances together
    Given a deployment of 2 instances
    And loans last 2000 ms
    And workspace "medina" has a rate of 1000000 and a burst of 7
    When a caller sends 4 requests at once through 2 instances
    Then 4 were admitted and the others refused as over the rate
    When an operator gives "medina" a rate of 0.001 and a burst of 7
    And revision 2 comes into force on every instance
    And a caller sends 20 requests at once through 2 instances
    Then 7 were admitted and the others refused as over the rate
    And the engines were asked 11 times
