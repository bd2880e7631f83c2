import type { Continuation } from '../../wire/index.js';
import type { Chunk } from './chunk.js';
import { chunkOf } from './chunkof.js';
import { eventsOf } from './eventsof.js';
import type { Template } from './template.js';

/** Payloads are turned into text by so many at once, off the path of single tokens. */
const COMPACT_AT = 16;
const EVENT_ID = /^id: ?(\d+)$/m;

/**
 * What the caller of a stream has been sent. Grows in place, as it takes every payload; its size is
 * bounded, and past the bound the answer can no longer be continued.
 */
export class HeldAnswer {
  private raw: Buffer[] = [];

  private text = '';

  private tokenCount = 0;

  private dataCount = 0;

  private template: Template = {};

  private unfit = false;

  private hasFinished = false;

  constructor(private readonly limitBytes: number) {}

  add(payload: Buffer): void {
    if (this.unfit) return;
    this.raw.push(payload);
    if (this.raw.length >= COMPACT_AT) this.compact();
  }

  /** What another engine has to be given; undefined if it cannot go on from here. */
  continuation(): Continuation | undefined {
    this.compact();
    if (this.unfit || this.hasFinished) return undefined;
    const { text, tokenCount, dataCount } = this;
    return { text, tokenCount, dataCount };
  }

  /** True if the generation was complete and only the closing `[DONE]` may be missing. */
  finished(): boolean {
    this.compact();
    return this.hasFinished;
  }

  common(): Template {
    this.compact();
    return this.template;
  }

  private compact(): void {
    const { raw } = this;
    this.raw = [];
    for (const payload of raw) {
      this.dataCount += 1;
      for (const event of eventsOf(payload)) this.read(event);
    }
    // A character of a string takes up to two bytes.
    if (this.text.length * 2 > this.limitBytes) this.giveUp();
  }

  private read(event: string): void {
    const eventId = EVENT_ID.exec(event)?.[1];
    if (eventId !== undefined) this.template = { ...this.template, lastEventId: Number(eventId) };
    const chunk = chunkOf(event);
    if (chunk) this.learn(chunk);
  }

  private learn(chunk: Chunk): void {
    const { id, created, system_fingerprint: fingerprint, choices = [] } = chunk;
    if (this.template.id === undefined) {
      this.template = { ...this.template, id, created, fingerprint };
    }
    if (choices.length > 1) this.giveUp();
    const [choice] = choices;
    if (!choice) return;
    if (choice.delta?.tool_calls) this.giveUp();
    const content = choice.delta?.content ?? choice.text ?? '';
    if (content) this.tokenCount += 1;
    this.text += content;
    if (choice.finish_reason) this.hasFinished = true;
  }

  private giveUp(): void {
    this.unfit = true;
    this.text = '';
  }
}
