import type { Continuation } from '../../wire/index.js';
import { dataOf, eventsOf, idOf, type StreamEvent } from '../eventstream/index.js';
import type { Chunk } from './chunk.js';
import { chunkOf } from './chunkof.js';
import type { StreamTemplate } from './streamtemplate.js';

/** Payloads are parsed in batches of this many, to keep the cost of parsing off the path of each token. */
const COMPACT_AT = 16;
const NUMBER = /^\d+$/;
const DONE = '[DONE]';

/**
 * The part of a streamed answer that has been sent to the caller. It is mutable because it records every
 * payload. Its size is bounded; an answer above the bound can no longer be continued.
 */
export class HeldAnswer {
  private unparsed: Buffer[] = [];

  private text = '';

  private tokenCount = 0;

  private dataCount = 0;

  private template: StreamTemplate = {};

  private cannotContinue = false;

  private hasFinished = false;

  constructor(private readonly limitBytes: number) {}

  add(payload: Buffer): void {
    if (this.cannotContinue) return;
    this.unparsed.push(payload);
    if (this.unparsed.length >= COMPACT_AT) this.parsePending();
  }

  /** Returns what another engine needs to continue the answer; undefined if it cannot be continued. */
  continuation(): Continuation | undefined {
    this.parsePending();
    if (this.cannotContinue || this.hasFinished) return undefined;
    const { text, tokenCount, dataCount } = this;
    return { text, tokenCount, dataCount };
  }

  /** True if the generation has ended and at most the closing `[DONE]` is missing. */
  hasEnded(): boolean {
    this.parsePending();
    return this.hasFinished;
  }

  streamTemplate(): StreamTemplate {
    this.parsePending();
    return this.template;
  }

  private parsePending(): void {
    const { unparsed } = this;
    this.unparsed = [];
    for (const payload of unparsed) {
      this.dataCount += 1;
      for (const event of eventsOf(payload)) this.read(event);
    }
    // A UTF-16 code unit of a string takes up to two bytes.
    if (this.text.length * 2 > this.limitBytes) this.stopTracking();
  }

  private read(event: StreamEvent): void {
    const eventId = idOf(event);
    if (eventId !== undefined && NUMBER.test(eventId)) {
      this.template = { ...this.template, lastEventId: Number(eventId) };
    }
    const data = dataOf(event);
    const chunk = chunkOf(data);
    if (chunk) this.readChunk(chunk);
    // What the caller has got of such an event is not known to the next engine.
    else if (data !== undefined && data !== DONE) this.stopTracking();
  }

  private readChunk(chunk: Chunk): void {
    const { id, created, system_fingerprint: fingerprint, choices = [] } = chunk;
    if (this.template.id === undefined) {
      this.template = { ...this.template, id, created, fingerprint };
    }
    if (choices.length > 1) this.stopTracking();
    const [choice] = choices;
    if (!choice) return;
    if (choice.delta?.tool_calls) this.stopTracking();
    const content = choice.delta?.content ?? choice.text ?? '';
    if (content) this.tokenCount += 1;
    this.text += content;
    if (choice.finish_reason) this.hasFinished = true;
  }

  private stopTracking(): void {
    this.cannotContinue = true;
    this.text = '';
  }
}
