import type { Ms } from '../base/index.js';
import { hash32 } from '../core/hash/index.js';
import type { Member } from '../core/origin/index.js';
import type { MemberList } from './memberlist.js';

/** An entry that has not been heard of for this long has left; one that starts again is back sooner. */
const FORGET_MS = 20_000;
const FORGET_EVERY_MS = 1000;

function lineOf({ entry, address, availabilityZone }: Member): string {
  return `${entry} ${address} ${availabilityZone}`;
}

/** The entries of this deployment, as far as this one knows. */
export class Members {
  private readonly heard = new Map<string, { readonly member: Member; readonly atMs: Ms }>();

  /** The members that are known now; undefined after a change. */
  private current: Required<MemberList> | undefined;

  private forgottenAtMs: Ms = -Infinity;

  /** The holder's list as last received. */
  private received: Required<MemberList> | undefined;

  constructor(private readonly self: Member) {}

  /** Digest of the holder's list that this entry has; undefined before the first. */
  get knownDigest(): number | undefined {
    return this.received?.digest;
  }

  /** Records that a member was heard of. */
  reported(member: Member, nowMs: Ms): void {
    if (member.entry === this.self.entry) return;
    const known = this.heard.get(member.entry);
    if (!known || lineOf(known.member) !== lineOf(member)) this.current = undefined;
    this.heard.set(member.entry, { member, atMs: nowMs });
  }

  /** Returns what to answer an entry that has the list with this digest. */
  listFor(digest: number | undefined, nowMs: Ms): MemberList {
    const list = this.list(nowMs);
    return list.digest === digest ? { digest } : list;
  }

  /** Records the holder's answer. */
  answered({ digest, members }: MemberList, nowMs: Ms): void {
    if (members) this.received = { digest, members };
    if (this.received?.digest !== digest) return;
    for (const member of this.received.members) this.reported(member, nowMs);
  }

  /** Returns all members, this entry among them. */
  all(nowMs: Ms): readonly Member[] {
    return this.list(nowMs).members;
  }

  private list(nowMs: Ms): Required<MemberList> {
    this.forget(nowMs);
    if (!this.current) {
      const members = [this.self, ...[...this.heard.values()].map(({ member }) => member)];
      const digest = hash32(members.map(lineOf).sort().join('\n'));
      this.current = { digest, members };
    }
    return this.current;
  }

  private forget(nowMs: Ms): void {
    if (nowMs - this.forgottenAtMs < FORGET_EVERY_MS) return;
    this.forgottenAtMs = nowMs;
    for (const [entry, { atMs }] of this.heard) {
      if (nowMs - atMs <= FORGET_MS) continue;
      this.heard.delete(entry);
      this.current = undefined;
    }
  }
}
