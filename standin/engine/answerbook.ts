import type { ServerResponse } from 'node:http';
import type { Answer } from './answer.js';
import { writeAnswer } from './writeanswer.js';

/** The answers of one engine, live and kept, by the engine's own number of the request. */
export class AnswerBook {
  private readonly answers = new Map<number, Answer>();

  /** `tellGone` hears of callers that left before their answer was whole. */
  constructor(private readonly tellGone: (key: number) => void) {}

  get(key: number): Answer | undefined {
    return this.answers.get(key);
  }

  /** Id of some other request than this one. */
  otherId(requestId: string): string {
    const others = [...this.answers.values()].filter((answer) => answer.requestId !== requestId);
    return others.at(-1)?.requestId ?? 'some-other-request';
  }

  /** Adds an answer, or gives a kept one a new listener. */
  attach(key: number, answer: Answer, response: ServerResponse | undefined): void {
    this.answers.set(key, { ...answer, response });
    response?.on('close', () => {
      if (this.answers.get(key)?.response !== response) return;
      if (!response.writableFinished) this.tellGone(key);
    });
  }

  /** Forgets answers that the engine itself no longer knows. */
  keepOnly(isKnown: (key: number) => boolean): void {
    for (const key of this.answers.keys()) if (!isKnown(key)) this.answers.delete(key);
  }

  giveToken(key: number, index: number, text: string): void {
    const answer = this.answers.get(key);
    if (!answer) return;
    const grown = { ...answer, tokens: [...answer.tokens, text] };
    this.answers.set(key, grown);
    if (answer.fault.type === 'cut' && index >= answer.fault.afterTokens) {
      this.breakOff(key, grown);
      return;
    }
    if (answer.response && !answer.response.headersSent) writeAnswer.start(answer);
    writeAnswer.token(grown, index);
  }

  finish(key: number): void {
    const answer = this.answers.get(key);
    if (!answer?.response || answer.response.destroyed) return;
    if (!answer.response.headersSent) writeAnswer.start(answer);
    writeAnswer.end(answer);
  }

  /** Gives a listener what it lacks after the token with this index. */
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

  /** Ends the connection after what has been written; the answer is kept for a resume. */
  private breakOff(key: number, answer: Answer): void {
    const { response } = answer;
    if (!response) return;
    this.answers.set(key, { ...answer, response: undefined });
    if (response.headersSent) response.write('', () => response.destroy());
    else response.destroy();
    // Not at once: the engine is in the middle of carrying out effects.
    queueMicrotask(() => this.tellGone(key));
  }
}
