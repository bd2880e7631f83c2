import type { Ms } from '../base/index.js';
import { hash32 } from '../core/hash/index.js';
import type { Member } from '../core/origin/index.js';
import type { MemberList } from './memberlist.js';

/** An entry that has not been heard of for this long has left; one that starts again is back sooner. */
const FORGET_MS = 20_000;

/** The entries of this deployment, as far as this one knows. */
export class Members {
  private readonly heard = new Map<string, { readonly member: Member; readonly atMs: Ms }>();

  /** The holder's list as last received. */
  private list: Required<MemberList> | undefined;

  constructor(private readonly self: Member) {}

  /** Digest of the holder's list that this entry has; undefined before the first. */
  get knownDigest(): number | undefined {
    return this.list?.digest;
  }

  /** Records a report by another entry. */
  reported(member: Member, nowMs: Ms): void {
    this.heard.set(member.entry, { member, atMs: nowMs });
  }

  /** Returns what to answer an entry that has the list with this digest. */
  listFor(digest: number | undefined, nowMs: Ms): MemberList {
    const members = this.all(nowMs);
    const lines = members.map((one) => `${one.entry} ${one.address} ${one.availabilityZone}`);
    const current = hash32(lines.sort().join('\n'));
    return current === digest ? { digest } : { digest: current, members };
  }

  /** Records the holder's answer. */
  answered({ digest, members }: MemberList, nowMs: Ms): void {
    if (members) this.list = { digest, members };
    if (this.list?.digest !== digest) return;
    for (const member of this.list.members) this.reported(member, nowMs);
  }

  /** Returns all members, this entry among them. */
  all(nowMs: Ms): Member[] {
    const members = [this.self];
    for (const [entry, { member, atMs }] of this.heard) {
      if (nowMs - atMs > FORGET_MS) this.heard.delete(entry);
      else if (entry !== this.self.entry) members.push(member);
    }
    return members;
  }
}
