import type { Revision } from '../../base/index.js';
import type { StoreFailure, WatchEvent } from '../../port/index.js';
import { base64 } from './base64.js';
import type { Gateway } from './gateway.js';
import type { GatewayAnswers } from './gatewayanswers.js';
import { itemOf } from './itemof.js';
import { rangeEnd } from './rangeend.js';
import { sendFailure } from './sendfailure.js';

type Told = NonNullable<NonNullable<GatewayAnswers['watch']['result']>['events']>[number];

const ENDED: StoreFailure = { type: 'store-unavailable', detail: 'The watch ended.' };

function eventOf({ type, kv }: Told): WatchEvent {
  const item = itemOf(kv);
  if (type === 'DELETE') return { type: 'deleted', key: item.key, revision: item.revision };
  return { type: 'put', item };
}

/** Runs one watch over the gateway until it ends, and gives the reason. */
export async function watchGateway(
  gateway: Gateway,
  prefix: string,
  fromRevision: Revision,
  tell: (event: WatchEvent) => void,
  signal: AbortSignal,
): Promise<StoreFailure> {
  const create = {
    key: base64.encode(prefix),
    range_end: rangeEnd(prefix),
    start_revision: String(fromRevision + 1),
  };
  try {
    const messages = gateway.stream('/v3/watch', { create_request: create }, signal);
    for await (const message of messages) {
      const told = (message as GatewayAnswers['watch']).result;
      if (told?.canceled) {
        const type = Number(told.compact_revision) > 0 ? 'store-compacted' : 'store-unavailable';
        return { type, detail: 'The store ended the watch.' };
      }
      for (const event of told?.events ?? []) tell(eventOf(event));
    }
    return ENDED;
  } catch (thrown) {
    return sendFailure('read', thrown);
  }
}
