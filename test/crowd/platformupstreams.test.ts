import test from 'ava';
import { endlessKinds } from '../../standin/platform/index.js';
import { withstandsUpstreams } from '../support/withstandsupstreams.js';

type Load = Parameters<typeof withstandsUpstreams>[1];
type Kind = keyof typeof endlessKinds;

/** The routes on which all upstreams send each kind. */
const ROUTES: Readonly<Record<Kind, readonly Load['route'][]>> = {
  'chunks of one byte': ['lookup', 'charge', 'draft', 'batch'],
  'chunks of one byte that stop': ['lookup'],
  'chunks of one byte of another answer': ['lookup', 'draft'],
  'a failure in chunks of one byte': ['lookup', 'charge', 'batch'],
  'a refusal in chunks of one byte': ['lookup', 'charge'],
  'chunks of 4 KiB that stop': ['lookup'],
  'a held answer that stops': ['lookup'],
  'a held failure that stops': ['lookup'],
  'an event that stops': ['batch'],
  'chunks of 64 KiB': ['lookup'],
  'a body without a length': ['lookup', 'draft'],
  'events in chunks of one byte': ['draft', 'batch'],
  'one event in chunks of one byte': ['draft', 'batch'],
  'one event': ['draft', 'batch'],
  'small events': ['batch'],
  comments: ['batch'],
  'blank lines': ['batch'],
  'a status line': ['lookup'],
  'header fields': ['lookup', 'batch'],
  'header fields that stop': ['lookup'],
  'interim responses': ['lookup'],
  'a chunk extension': ['lookup'],
  'a trailer': ['lookup'],
  'further answers': ['lookup'],
};

for (const [kind, routes] of Object.entries(ROUTES)) {
  const endless = endlessKinds[kind as Kind];
  for (const route of routes) {
    test(`platform, upstreams: ${kind} at ${route}`, withstandsUpstreams, {
      endless,
      route,
      callers: 60,
    });
  }
}

test('platform, upstreams: chunks of one byte for callers who read nothing', withstandsUpstreams, {
  endless: endlessKinds['chunks of one byte'],
  route: 'lookup',
  callers: 60,
  readsNothing: true,
});
