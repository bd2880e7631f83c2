import test from 'ava';
import { endlessKinds } from '../../standin/platform/index.js';
import { withstandsHeldAnswers } from '../support/withstandsheldanswers.js';

type Load = Parameters<typeof withstandsHeldAnswers>[1];
type Kind = keyof typeof endlessKinds;

/** Kinds of answers that an entry holds until they are whole, each below its own bound. */
const ROUTES: Partial<Record<Kind, Load['route']>> = {
  'a held answer that stops': 'lookup',
  'a held failure that stops': 'lookup',
  'an event that stops': 'batch',
};

for (const [kind, route] of Object.entries(ROUTES)) {
  test(`platform, held answers: ${kind} at ${route}`, withstandsHeldAnswers, {
    endless: endlessKinds[kind as Kind],
    route,
    callers: 400,
  });
}

// Requests were refused as long as the answers that stood filled the memory.
test(
  'platform, held answers: requests to sound servers beside events that stop',
  withstandsHeldAnswers,
  {
    endless: endlessKinds['an event that stops'],
    route: 'batch',
    callers: 200,
    asksOthers: true,
  },
);
