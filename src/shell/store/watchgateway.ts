import type { Revision } from '../../base/index.js';
import type { StoreFailure, WatchEvent } from '../../port/index.js';
import { base64 } from './base64.js';
import type { Gateway } from './gateway.js';
import type { GatewayAnswers } from './gatewayanswers.js';
import { itemOf } from './itemof.js';
import { rangeEnd } from './rangeend.js';
import { sendFailure } from './sendfailure.js';

type GatewayEvent = NonNullable<NonNullable<GatewayAnswers['watch']['result']>['events']>[number];

const ENDED: StoreFailure = { type: 'store-unavailable', detail: 'The watch ended.' };

function eventOf({ type, kv }: GatewayEvent): WatchEvent {
  const item = itemOf(kv);
  if (type === 'DELETE') return { type: 'deleted', key: item.key, revision: item.revision };
  return { type: 'put', item };
}

/** Runs one watch over the gateway. Resolves with the reason when the watch ends. */
export async function watchGateway(
  gateway: Gateway,
  prefix: string,
  fromRevision: Revision,
  onEvent: (event: WatchEvent) => void,
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
      const watchResult = (message as GatewayAnswers['watch']).result;
      if (watchResult?.canceled) {
        const type =
          Number(watchResult.compact_revision) > 0 ? 'store-compacted' : 'store-unavailable';
        return { type, detail: 'The store ended the watch.' };
      }
      for (const event of watchResult?.events ?? []) onEvent(eventOf(event));
    }
    return ENDED;
  } catch (thrown) {
    return sendFailure('read', thrown);
  }
}
