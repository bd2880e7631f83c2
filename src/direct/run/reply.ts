import type { RequestId } from '../../base/index.js';
import type { UpstreamReceiver } from '../../port/index.js';
import type { Caller } from '../caller.js';
import { EventCutter } from './eventcutter.js';

type Head = Parameters<UpstreamReceiver['head']>[0];

/** A plain answer up to this size is held until it is whole, so that one that breaks can be repeated. */
const HELD_BYTES = 262_144;

/** How an upstream's answer goes on to its caller. */
interface Manner {
  readonly isStream: boolean;
  /** Another upstream may go on where this one breaks off, so that only whole events are passed on. */
  readonly isResumable: boolean;
}

/** What a caller has got, or will get, of the answers of one or more upstreams to its request. */
export class Reply {
  /** True once the caller has seen anything of it. */
  hasBegun = false;

  /** Version of the weights that made what the caller has; a continued stream needs the same. */
  weightsVersion: string | undefined;

  private head: Head | undefined;

  private cutter: EventCutter | undefined;

  private held: Buffer[] | undefined;

  private heldBytes = 0;

  /** A failure that an upstream answered, to be given to the caller if a repeat gets no answer. */
  private fallback: { head: Head; held: Buffer[] } | undefined;

  constructor(private readonly caller: Caller) {}

  get requestId(): RequestId {
    return this.caller.request.id;
  }

  /** Status of the answer that came last. */
  get status(): number {
    return this.head!.status;
  }

  /** Id of the last event that the caller has, where its stream can be continued. */
  get lastEventId(): string | undefined {
    return this.cutter?.lastId;
  }

  get isHeld(): boolean {
    return this.held !== undefined;
  }

  /** An upstream's answer begins. */
  take(head: Head, { isStream, isResumable }: Manner): void {
    this.head = head;
    if (!isStream) {
      this.held = [];
      return;
    }
    this.weightsVersion ??= head.weightsVersion;
    // A stream that can be continued begins with its first event: until then another may answer.
    if (!isResumable) this.begin();
    else if (this.cutter) this.cutter.restart();
    else this.cutter = new EventCutter();
  }

  /** Returns false while the caller takes no more. */
  data(chunk: Buffer): boolean {
    if (this.held) {
      this.held.push(chunk);
      this.heldBytes += chunk.length;
      if (this.heldBytes > HELD_BYTES) this.release();
      return true;
    }
    const payload = this.cutter ? this.cutter.take(chunk) : chunk;
    if (!payload) return true;
    this.begin();
    return this.caller.write(payload);
  }

  /** The request is sent on: what was held of this answer is only given if nothing better comes. */
  putAside(isFailure: boolean): void {
    if (isFailure) this.fallback = { head: this.head!, held: this.held! };
    this.held = undefined;
    this.heldBytes = 0;
  }

  /** Takes a failure that was put aside as the answer; false if there is none, or the caller has something else. */
  takeBack(): boolean {
    if (!this.fallback || this.hasBegun) return false;
    this.head = this.fallback.head;
    this.held = this.fallback.held;
    return true;
  }

  /** The answer is whole. */
  end(): void {
    if (this.held) this.release();
    else this.begin();
    this.caller.end();
  }

  private begin(): void {
    if (this.hasBegun) return;
    this.hasBegun = true;
    const { status, headers, hasLength } = this.head!;
    this.caller.begin(status, headers, hasLength);
  }

  /** Lets what was held go: it is whole, or has grown too large to be repeated. */
  private release(): void {
    const { held } = this;
    this.held = undefined;
    this.begin();
    for (const chunk of held ?? []) this.caller.write(chunk);
  }
}
