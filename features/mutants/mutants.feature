Feature: Each mechanism's scenario fails without the mechanism

  Scenario Outline: Without it, its scenario fails
    Then the mutant "<mutant>" is caught

    Examples: mutants
      | mutant                             |
      | claims-anywhere                    |
      | claims-unfenced                    |
      | answers-counted                    |
      | ends-acknowledged-at-once          |
      | leases-over-at-once                |
      | former-lives-ignored               |
      | unreported-lives-ignored           |
      | stops-outlast-lives                |
      | answers-before-loading             |
      | room-beside-strays                 |
      | same-moment-proves                 |
      | caps-ignored                       |
      | gangs-in-parts                     |
      | steps-at-once                      |
      | attempts-uncounted                 |
      | stops-unsent                       |
      | orders-without-authority           |
      | begun-when-placed                  |
      | permissions-ignored                |
      | crawling-not-seen                  |
      | failures-not-blamed                |
      | gang-failures-counted-per-member   |
      | own-tasks-count-as-room            |
      | away-tasks-wait-their-turn         |
      | speeds-not-used                    |
      | batch-on-fast-workers              |
      | time-left-ignored                  |
      | fast-workers-never-scarce          |
      | gangs-of-mixed-speed               |
      | permissions-without-speed          |
      | first-ends-compared                |
      | spells-remembered                  |
      | unhealthy-workers-compared         |
      | siblings-not-compared              |
      | long-tasks-moved-for-ever          |
      | late-runs-stay                     |
      | moves-all-at-once                  |
      | moves-to-kept-room                 |
      | draining-not-left                  |
      | new-life-forgotten                 |
      | success-forgotten                  |
      | crashes-uncounted                  |
      | silence-counts-as-crash            |
      | queues-as-accepted                 |
      | refused-append-repeated            |
      | one-record-for-a-step              |
      | leases-counted-anew                |
      | leases-extended-before-contact     |
      | placed-by-outdated-configuration   |
      | configuration-reverts              |
      | keys-trusted-for-ever              |
      | incarnations-by-number             |
      | ended-processes-accepted           |
      | hangups-not-held                   |
      | settled-losses-examined            |
      | late-appends-delay-others          |
      | requests-crowd                     |
      | order-of-arrival                   |
      | refused-unconfirmed                |
      | callers-return-together            |
      | debts-forgotten                    |
      | useless-first                      |
      | share-ignored                      |
      | backlog-ignored                    |
      | environment-not-compared           |
      | effects-not-looked-up              |
      | closures-not-read                  |
      | closed-zones-used                  |
      | orders-sent-into-closed-zones      |
      | closed-zones-not-loaded            |
      | closed-zones-trusted-for-ever      |
      | zones-left-at-once                 |
      | jobs-of-any-memory                 |
      | heads-of-any-length                |
      | requests-of-any-memory             |
      | connections-first-come             |
      | served-requests-ended              |
      | callers-of-any-slowness            |
      | refusals-of-what-may-run           |
      | zones-of-inherited-workers-ignored |
      | moves-searched-without-end         |
      | fruitless-searches-forgotten       |
      | moves-beyond-quota                 |
      | closed-zones-used-unread           |
      | slow-heads-lose-answers            |
      | ended-tasks-kept                   |
      | no-part-for-small-jobs             |
      | idle-workers-ignored               |

  Scenario: Every mutant is listed here
    Then every mutant is among the examples
