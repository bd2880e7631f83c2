import type { RequestId } from '../../base/index.js';
import { ChargedBuffer } from '../../core/bodybuffer/index.js';
import { EventReader } from '../../core/eventstream/index.js';
import type { StreamOrigin } from '../../core/origin/index.js';
import type { UpstreamReceiver } from '../../port/index.js';
import type { Caller } from '../caller.js';
import { EventAssembler } from './eventassembler.js';

type Head = Parameters<UpstreamReceiver['head']>[0];

/** A plain answer up to this size is buffered until it is complete, so that a broken one can be repeated. */
const MAX_HELD_BYTES = 262_144;
const FIRST_NON_SUCCESS_STATUS = 300;
const FIRST_FAILURE_STATUS = 500;

/** How an upstream's answer is passed on to its caller. */
interface ReplyMode {
  readonly isStream: boolean;
  /** Another upstream may continue the stream after a break, so only complete events are passed on. */
  readonly isResumable: boolean;
  /** What the stream begins with, if it is one. */
  readonly origin: StreamOrigin | undefined;
}

/** Streams are event streams unless their head says otherwise. */
function isEventStream({ headers }: Head): boolean {
  for (let at = 0; at < headers.length; at += 2) {
    const isType = headers[at]!.toLowerCase() === 'content-type';
    if (isType) return headers[at + 1]!.toLowerCase().startsWith('text/event-stream');
  }
  return true;
}

/** The answer to one caller, assembled from the answers of one or more upstreams. */
export class Reply {
  /** True once any part of it was sent to the caller. */
  hasBegun = false;

  /** What the stream began with; undefined until a part of it was sent to the caller. */
  origin: StreamOrigin | undefined;

  /** What the stream begins with if a part of the answer under way is sent to the caller. */
  private nextOrigin: StreamOrigin | undefined;

  private head: Head | undefined;

  private assembler: EventAssembler | undefined;

  /** Reads the last answer if it is an event stream that cannot be continued. */
  private reader: EventReader | undefined;

  /** True if the last answer is an event stream. */
  private isEvents = false;

  /** True if the last answer continues a stream: its caller may have every event already. */
  private isContinuation = false;

  /** True if no bytes of the last answer have arrived. */
  private isEmpty = true;

  private held: ChargedBuffer | undefined;

  /** Memory that is held of upstreams' answers. */
  heldBytes = 0;

  private readonly charge = (bytes: number) => {
    this.heldBytes += bytes;
    this.caller.charge(bytes);
  };

  /** A failure that an upstream answered, for the caller if no later attempt gets an answer. */
  private fallback: { head: Head; held: ChargedBuffer } | undefined;

  constructor(
    private readonly caller: Caller,
    /** Called with what a stream begins with, right before a part of it is sent to the caller. */
    private readonly begins: (origin: StreamOrigin) => void,
  ) {}

  get requestId(): RequestId {
    return this.caller.request.id;
  }

  get sharedParts(): Caller['request']['sharedParts'] {
    return this.caller.request.sharedParts;
  }

  /** Status of the last answer. */
  get status(): number {
    return this.head!.status;
  }

  /** Id of the last event that was sent to the caller, if the stream can be continued. */
  get lastEventId(): string | undefined {
    return this.assembler?.lastId;
  }

  get isHeld(): boolean {
    return this.held !== undefined;
  }

  /** True if the last answer is a stream whose last event is incomplete so far. */
  get isInsideEvent(): boolean {
    return this.isEvents && ((this.reader ?? this.assembler)?.isInsideEvent ?? false);
  }

  /** Why the last answer is incomplete if it has ended; undefined if it is complete. */
  get incompleteDetail(): string | undefined {
    if (!this.isEvents) {
      return this.isEmpty && !this.mayLackBody ? 'The answer ended before its body.' : undefined;
    }
    const events = this.reader ?? this.assembler;
    if (this.isInsideEvent) return 'The stream ended inside an event.';
    const isComplete = events?.hasEvent || this.mayLackEvents;
    return isComplete ? undefined : 'The stream ended before any event.';
  }

  /** An answer without a length whose connection ends after the head may have been cut there. */
  private get mayLackBody(): boolean {
    const { hasLength, status } = this.head!;
    return hasLength || status >= FIRST_NON_SUCCESS_STATUS;
  }

  /**
   * A stream has at least one event. Only a last chunk says that nothing is left of one that goes on: a server that
   * streams events does not know their length in advance.
   */
  private get mayLackEvents(): boolean {
    return this.isContinuation && this.head!.isChunked === true && !this.assembler?.lacksEvent;
  }

  /** True if the stream's last event is incomplete and larger than an event can be. */
  get isEventTooLarge(): boolean {
    return this.assembler?.isEventTooLarge ?? false;
  }

  /** Returns false if an answer cannot continue the stream that was begun: it is a failure, or no event stream. */
  canTake(head: Head): boolean {
    return !this.hasBegun || (head.status < FIRST_NON_SUCCESS_STATUS && isEventStream(head));
  }

  /** Begins with the head of an upstream's answer. */
  take(head: Head, { isStream, isResumable, origin }: ReplyMode): void {
    this.head = head;
    const isEvents = isStream && isEventStream(head);
    this.isEvents = isEvents;
    this.isEmpty = true;
    this.reader = undefined;
    const isHeld = !isStream || (isResumable && !isEvents);
    this.nextOrigin = isHeld ? undefined : origin;
    if (isHeld) {
      this.held = new ChargedBuffer(MAX_HELD_BYTES, this.charge);
      return;
    }
    this.isContinuation = this.hasBegun || this.caller.request.resumeAfter !== undefined;
    // A resumable stream begins with its first event: until then another upstream may answer instead.
    if (!isResumable) {
      if (isEvents) this.reader = new EventReader();
      this.begin();
    } else if (this.assembler) {
      this.assembler.restart();
    } else {
      this.assembler = new EventAssembler(this.charge);
    }
  }

  /** Passes on or buffers a chunk. Returns false while the caller accepts no more data. */
  data(chunk: Buffer): boolean {
    this.isEmpty = false;
    if (this.held && !this.mustPassOn && this.held.add(chunk)) return true;
    if (this.held) {
      this.release();
      return this.caller.write(chunk);
    }
    this.reader?.read(chunk);
    const payload = this.assembler ? this.assembler.take(chunk) : chunk;
    if (!payload) return true;
    this.begin();
    return this.caller.write(payload);
  }

  /** Discards the buffered answer, as the request is sent again; a failure is kept in case no better answer arrives. */
  setAside(isFailure: boolean): void {
    if (isFailure) {
      this.dropFallback();
      this.fallback = { head: this.head!, held: this.held! };
    } else this.held?.clear();
    this.held = undefined;
    this.assembler?.clear();
  }

  /** Discards a failure that was set aside. Returns false if there is none. */
  dropFallback(): boolean {
    const { fallback } = this;
    this.fallback = undefined;
    fallback?.held.clear();
    return fallback !== undefined;
  }

  /** Frees what is held, once nothing more is read or sent. */
  discard(): void {
    this.held?.clear();
    this.held = undefined;
    this.assembler?.clear();
    this.dropFallback();
  }

  /** Restores a failure that was set aside as the answer; false if there is none, or another answer has begun. */
  useFallback(): boolean {
    if (!this.fallback || this.hasBegun) return false;
    this.held?.clear();
    this.head = this.fallback.head;
    this.held = this.fallback.held;
    this.fallback = undefined;
    return true;
  }

  /** Completes the answer. */
  end(): void {
    if (this.held) this.release();
    else this.begin();
    this.caller.end();
  }

  /** True if the answer is not to be held for lack of memory; a failure may be tried again elsewhere. */
  private get mustPassOn(): boolean {
    return this.caller.isMemoryShort && this.status < FIRST_FAILURE_STATUS;
  }

  private begin(): void {
    if (this.hasBegun) return;
    this.hasBegun = true;
    this.dropFallback();
    this.origin = this.nextOrigin;
    if (this.origin) this.begins(this.origin);
    const { status, headers } = this.head!;
    this.caller.begin(status, headers);
  }

  /** Sends the buffered answer: it is complete, or too large to be buffered further. */
  private release(): void {
    const body = this.held!.take();
    this.held = undefined;
    this.begin();
    if (body.length > 0) this.caller.write(body);
  }
}
