import { dataOf, eventsOf } from '../../core/eventstream/index.js';
import { belongsToRequest } from './belongstorequest.js';

/** Returns true if the data of every event in the payload belongs to the request. */
export function eventsBelongToRequest(payload: Buffer, requestId: string): boolean {
  return eventsOf(payload).every((event) => belongsToRequest(dataOf(event) ?? '', requestId));
}
