import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { ExecutionContext } from 'ava';
import type { Dispatcher } from 'undici';

const ROOT = join(import.meta.dirname, '..', '..', '..', 'test', 'golden');

/** Headers that matter to callers and do not vary between runs. */
const RECORDED_HEADERS = ['content-type', 'retry-after', 'connection', 'x-request-id'];

/** Records what callers observe in a session and compares it with test/golden/NAME.jsonl, one line per observation. */
export class Transcript {
  private lines = '';

  note(what: string, seen: unknown): void {
    this.lines += `${JSON.stringify({ what, seen })}\n`;
  }

  /** Records an answer and returns its body, with the request id, which varies between runs, replaced by REQUEST. */
  async answer(what: string, answer: Dispatcher.ResponseData): Promise<string> {
    const requestId = String(answer.headers['x-request-id']);
    const body = (await answer.body.text()).replaceAll(requestId, 'REQUEST');
    const recorded = Object.entries(answer.headers).filter(([name]) =>
      RECORDED_HEADERS.includes(name),
    );
    const headers = Object.fromEntries(
      recorded.map(([name, value]) => [name, String(value).replace(requestId, 'REQUEST')]),
    );
    this.note(what, { status: answer.statusCode, headers, body });
    return body;
  }

  /** Compares the record with the golden file. */
  check(t: ExecutionContext, name: string): void {
    const file = join(ROOT, `${name}.jsonl`);
    if (process.env.UPDATE_GOLDEN) writeFileSync(file, this.lines);
    t.true(existsSync(file), `${file} is missing: run npm run golden`);
    t.is(this.lines, readFileSync(file, 'utf8'));
  }
}
