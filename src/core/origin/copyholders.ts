import type { RequestId } from '../../base/index.js';
import { rendezvous } from '../hash/index.js';
import type { Member } from './member.js';

/** One more than the copies, as the entry that began the stream may be among them. */
const HOLDERS = 3;

/**
 * Returns the entries that keep copies of a stream's origin, the same at every entry that knows the same members. Any
 * two of them that leave out one are not both in its availability zone, where there are several zones.
 */
export function copyHolders(id: RequestId, members: readonly Member[]): Member[] {
  const byEntry = new Map(members.map((member) => [member.entry, member]));
  const ranked = rendezvous(id, [...byEntry.keys()]).map((entry) => byEntry.get(entry)!);
  const [first] = ranked;
  if (!first) return [];
  const elsewhere = ranked.find((one) => one.availabilityZone !== first.availabilityZone);
  const second = elsewhere ?? ranked[1];
  const others = ranked.filter((one) => one !== first && one !== second);
  return [first, ...(second ? [second] : []), ...others].slice(0, HOLDERS);
}
