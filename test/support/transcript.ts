import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { ExecutionContext } from 'ava';
import type { Dispatcher } from 'undici';

const ROOT = join(import.meta.dirname, '..', '..', '..', 'test', 'golden');

/** Headers that tell callers something and are the same in each run. */
const SHOWN = ['content-type', 'retry-after', 'connection', 'x-request-id'];

/** A whole session as callers saw it, compared with test/golden/NAME.jsonl: one line a thing seen. */
export class Transcript {
  private lines = '';

  note(what: string, seen: unknown): void {
    this.lines += `${JSON.stringify({ what, seen })}\n`;
  }

  /** Notes an answer; the request's id, which differs in each run, is put as REQUEST. */
  async answer(what: string, answer: Dispatcher.ResponseData): Promise<string> {
    const requestId = String(answer.headers['x-request-id']);
    const body = (await answer.body.text()).replaceAll(requestId, 'REQUEST');
    const shown = Object.entries(answer.headers).filter(([name]) => SHOWN.includes(name));
    const headers = Object.fromEntries(
      shown.map(([name, value]) => [name, String(value).replace(requestId, 'REQUEST')]),
    );
    this.note(what, { status: answer.statusCode, headers, body });
    return body;
  }

  check(t: ExecutionContext, name: string): void {
    const file = join(ROOT, `${name}.jsonl`);
    if (process.env.UPDATE_GOLDEN) writeFileSync(file, this.lines);
    t.true(existsSync(file), `${file} is missing: run npm run golden`);
    t.is(this.lines, readFileSync(file, 'utf8'));
  }
}
