import type { ServerResponse } from 'node:http';
import type { Answer } from './answer.js';
import { writeAnswer } from './writeanswer.js';

/** The answers of one engine, in progress or kept for a resume, by the engine's key of the request. */
export class AnswerTable {
  private readonly answers = new Map<number, Answer>();

  /** `onCallerGone` is called if a caller disconnects before its answer is complete. */
  constructor(private readonly onCallerGone: (key: number) => void) {}

  get(key: number): Answer | undefined {
    return this.answers.get(key);
  }

  /** Returns the id of a request other than this one. */
  otherId(requestId: string): string {
    const others = [...this.answers.values()].filter((answer) => answer.requestId !== requestId);
    return others.at(-1)?.requestId ?? 'some-other-request';
  }

  /** Adds an answer, or connects a kept answer to a new response. */
  attach(key: number, answer: Answer, response: ServerResponse | undefined): void {
    this.answers.set(key, { ...answer, response });
    response?.on('close', () => {
      if (this.answers.get(key)?.response !== response) return;
      if (!response.writableFinished) this.onCallerGone(key);
    });
  }

  /** Deletes answers whose requests the engine no longer knows. */
  retainOnly(isKnown: (key: number) => boolean): void {
    for (const key of this.answers.keys()) if (!isKnown(key)) this.answers.delete(key);
  }

  appendToken(key: number, index: number, text: string): void {
    const answer = this.answers.get(key);
    if (!answer) return;
    const extended = { ...answer, tokens: [...answer.tokens, text] };
    this.answers.set(key, extended);
    if (answer.fault.type === 'cut' && index >= answer.fault.afterTokens) {
      this.interrupt(key, extended);
      return;
    }
    if (answer.response && !answer.response.headersSent) writeAnswer.start(answer);
    writeAnswer.token(extended, index);
  }

  finish(key: number): void {
    const answer = this.answers.get(key);
    if (!answer?.response || answer.response.destroyed) return;
    if (!answer.response.headersSent) writeAnswer.start(answer);
    writeAnswer.end(answer);
  }

  /** Sends a new response all tokens after the one with this index. */
  resume(key: number, lastIndex: number, response: ServerResponse): void {
    const answer = this.answers.get(key);
    if (!answer) return;
    const resumed = { ...answer, fault: { type: 'none' as const }, response };
    this.attach(key, resumed, response);
    writeAnswer.start(resumed);
    for (let index = lastIndex + 1; index < resumed.tokens.length; index += 1) {
      writeAnswer.token(resumed, index);
    }
  }

  cut(key: number): void {
    const response = this.answers.get(key)?.response;
    this.answers.delete(key);
    response?.destroy();
  }

  refuse(key: number, status: number, body: object): void {
    const response = this.answers.get(key)?.response;
    this.answers.delete(key);
    response?.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
  }

  /** Closes the connection once the buffered data is sent; keeps the answer for a resume. */
  private interrupt(key: number, answer: Answer): void {
    const { response } = answer;
    if (!response) return;
    this.answers.set(key, { ...answer, response: undefined });
    if (response.headersSent) response.write('', () => response.destroy());
    else response.destroy();
    // Deferred, because the engine is currently carrying out effects.
    queueMicrotask(() => this.onCallerGone(key));
  }
}
