import type { Result } from 'ts-results';
import { result, type Incarnation, type UpstreamId } from '../../base/index.js';
import { Executed, type Refusal } from '../../wire/index.js';
import { refuse } from '../refusal/index.js';
import { ticketName } from '../ticket/index.js';
import type { RouteView } from './routeview.js';

/** Tables may be handed over more than once; the limit prevents a loop over records that name each other. */
const HAND_OVER_LIMIT = 16;

const GONE = refuse(
  'ticket-incarnation-gone',
  'The sidecar that issued the ticket is gone, and its ticket table is lost.',
  { executed: Executed.EXECUTED_UNKNOWN },
);

/** Finds the sidecar that may run a ticket's request or has recorded its outcome. */
export function routeTicket(
  ticket: string,
  view: RouteView,
): Result<{ upstream: UpstreamId; incarnation: Incarnation }, Refusal> {
  const name = ticketName.read(ticket);
  if (!name) return result.Err(refuse('ticket-malformed', 'The ticket is malformed.'));
  let { upstream, incarnation } = name;
  for (let hop = 0; hop < HAND_OVER_LIMIT; hop += 1) {
    const heir = view.heirOf({ upstream, incarnation });
    if (!heir) break;
    ({ upstream, incarnation } = heir);
  }
  if (view.incarnationOf(upstream) > incarnation) return result.Err(GONE);
  return result.Ok({ upstream, incarnation });
}
