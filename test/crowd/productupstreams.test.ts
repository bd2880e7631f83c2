import test from 'ava';
import { endlessKinds } from '../../standin/platform/index.js';
import { withstandsProductUpstreams } from '../support/withstandsproductupstreams.js';

type Load = Parameters<typeof withstandsProductUpstreams>[1];
type Kind = keyof typeof endlessKinds;

const callers = 60;

/** The requests to which each kind is the answer. */
const REQUESTS: Readonly<Partial<Record<Kind, readonly Load['request'][]>>> = {
  'chunks of one byte': ['whole', 'lookup'],
  'chunks of one byte that stop': ['lookup'],
  'a failure in chunks of one byte': ['whole', 'lookup'],
  'a refusal in chunks of one byte': ['stream'],
  'chunks of 64 KiB': ['lookup'],
  'a body without a length': ['lookup', 'whole'],
  'events in chunks of one byte': ['stream'],
  'one event in chunks of one byte': ['stream'],
  'one event': ['stream'],
  'small events': ['stream'],
  comments: ['stream'],
  'blank lines': ['stream'],
  'a status line': ['lookup'],
  'header fields': ['lookup', 'stream'],
  'header fields that stop': ['lookup'],
  'interim responses': ['lookup'],
  'a chunk extension': ['lookup'],
  'a trailer': ['lookup'],
  'further answers': ['lookup'],
};

for (const [kind, requests] of Object.entries(REQUESTS)) {
  const endless = endlessKinds[kind as Kind];
  for (const request of requests) {
    test(`product, upstreams: ${kind} for a ${request} request`, withstandsProductUpstreams, {
      endless,
      request,
      callers,
    });
  }
}

const UNREAD: readonly (readonly [Kind, Load['request']])[] = [
  ['chunks of one byte', 'lookup'],
  ['chunks of 64 KiB', 'lookup'],
  ['small events', 'stream'],
];

for (const [kind, request] of UNREAD) {
  test(`product, upstreams: ${kind} for callers who read nothing`, withstandsProductUpstreams, {
    endless: endlessKinds[kind],
    request,
    callers,
    readsNothing: true,
  });
}
