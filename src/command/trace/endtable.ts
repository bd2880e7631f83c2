/** What each end of a request means, and where its cause is to be looked for. */
export const endTable: Readonly<Record<string, string>> = {
  answered: 'its whole answer was delivered',
  gone: 'the caller left before its answer was complete',
  'not-resident': 'no upstream held the model or adapter in time; see the orders and moves below',
  'upstreams-limited':
    'every upstream that holds what it needs has named a limit of requests, and none of its slots came free in time',
  'upstreams-paused':
    'every upstream that holds what it needs had turned this entry away for a time',
  'upstreams-full': 'every upstream that holds what it needs was full or could not be reached',
  'upstream-failed': 'the upstream broke off or failed, and the request could not be repeated',
  'request-ends-upstreams':
    'upstreams ended each time they ran this request; see the lines of the same content below',
  'request-suspected':
    'an upstream ended under this request before, and it may run nowhere else at the same time',
  'no-upstream': 'the list had no upstream of the service',
  'route-unknown': 'no route of the configuration in force takes its host and path',
  'route-withdrawn': 'the route was withdrawn while it waited',
  'no-configuration': 'the entry knew no configuration yet',
  outdated:
    'the store did not answer the entry, so that it could not tell whether the key is in force',
  'key-unknown': 'no customer of the configuration in force has its key',
  'key-withdrawn': 'its key was removed while it waited',
  'over-quota': 'its customer had reached its limit, over all entries',
  'quota-unknown': 'no holder of quotas answered, and the own part of the limit was used up',
  timeout: "the route's time was over",
  cut: 'the answer had begun and could not go on elsewhere',
};
