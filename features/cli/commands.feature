Feature: The command line tells what happened by its output and exit code

  Scenario Outline: berylspread <command> with <key> key
    Given the running fleet
    When <key> key runs berylspread <command>
    Then it exits with <code>
    And the error output starts with <error>

    Examples: refusals
      | command                                    | key          | code | error                                      |
      | call proof x                               | no           | 3    | berylspread: [not-run] unauthenticated:    |
      | call proof x                               | a wrong      | 3    | berylspread: [not-run] unauthenticated:    |
      | call proof x                               | patterns     | 3    | berylspread: [not-run] forbidden: the key is of another team than the queue (queue=proof, team=patterns |
      | call prof x                                | proofs       | 2    | berylspread: [not-run] unknown-name: no queue is called 'prof' (kind=queue, key=prof, nearest=proof |
      | call proof x --deadline_s=-1               | proofs       | 5    | berylspread: [not-run] deadline-exceeded:  |
      | call proof --file=/nonexistent             | proofs       | 2    | berylspread: [not-run] invalid-input:      |
      | jobs submit pattern-run --cpu=64           | patterns     | 3    | berylspread: [not-run] unplaceable:        |
      | jobs submit pattern-run --cpus=64          | patterns     | 2    | berylspread: [not-run] invalid-input:      |
      | jobs show 1e5                              | patterns     | 2    | berylspread: [not-run] unknown-name: no job is called '1e5' |
      | status                                     | patterns     | 3    | berylspread: [not-run] unauthenticated:    |
      | config show --environment=staging          | the operator | 2    | berylspread: [not-run] unknown-name:       |
      | config apply {plain}                       | the operator | 2    | berylspread: [not-run] invalid-input: the document does not state which version |
      | config apply {plain} --base=99             | the operator | 4    | berylspread: [not-run] conflict:           |
      | config check {faulty}                      | the operator | 2    | berylspread: [not-run] invalid-document: production: [team proofs] sahre: unknown option (nearest=share) |
      | drain nobody                               | the operator | 2    | berylspread: [not-run] unknown-name:       |
      | keys withdraw 12e5                         | the operator | 2    | berylspread: [not-run] unknown-name: no key is called '12e5' |
      | stats                                      | the operator | 2    | ERROR: Could not consume arg: stats        |
      | jobs show                                  | patterns     | 2    | ERROR: The function received no value      |
      | status --timeout_s=soon                    | the operator | 2    | usage:                                     |

  Scenario Outline: berylspread <command> --json
    Given the running fleet
    When the operator key runs berylspread <command> --json
    Then it exits with 0
    And it prints one line of JSON

    Examples: reading commands
      | command        |
      | status         |
      | nodes          |
      | workers        |
      | teams          |
      | queues         |
      | tickets        |
      | keys list      |
      | jobs list      |
      | config show    |
      | config status  |
      | config history |
      | config diff {plain} |
      | config check {plain} |

  Scenario Outline: berylspread <command>
    Given the running fleet
    When the operator key runs berylspread <command>
    Then it exits with 0
    And it prints <text>

    Examples: tables
      | command       | text                                            |
      | nodes         | NODE          REGION        ZONE        LIVENESS |
      | workers       | pekalongan-rack-1-1                             |
      | teams         | 0.28   400 cores 1200 GiB                       |
      | queues        | order-status               yes   interactive    |
      | status        | nodes-ready    3                                |
      | config show   | # version:                                      |
      | --help        | Check, compare, apply and promote documents     |
      | jobs submit --help | Number of tasks                            |

  Scenario: A call prints the whole answer and nothing else
    Given the running fleet
    When proofs key runs berylspread call proof {"run_s":0.01}
    Then it exits with 0
    And it prints just {"run_s":0.01}

  Scenario: A job from submission to result
    Given the running fleet
    When patterns key runs berylspread jobs submit pattern-run --tasks=2 --payload={"run_s":1} --json
    Then it exits with 0
    When 5 seconds pass
    And patterns key runs berylspread jobs result {job}
    Then it exits with 0
    And it prints succeeded=2

  Scenario: An edited document is applied over the version that it shows
    Given a fleet of its own
    When the operator key runs berylspread config show
    And the printed document is applied with a limit of 300 cores for patterns
    Then it exits with 0
    When the same file is applied again
    Then it exits with 4

  Scenario: No node answers
    When a command runs without any node
    Then it exits with 5
    And the error output starts with berylspread: [not-run] node-unreachable:

  Scenario: The connection breaks after the request was sent
    When a command runs and its response is lost
    Then it exits with 6
    And the error output starts with berylspread: [unknown] outcome-unknown:

  Scenario: A refusal of a type that this release does not know
    When a command is refused with the problem too-curious of run state ran
    Then it exits with 3
    And the error output starts with berylspread: [ran] too-curious: why ask
