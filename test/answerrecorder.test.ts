import test from 'ava';
import { AnswerRecorder } from '../src/sidecar/answerrecorder.js';
import { replay } from '../src/sidecar/replay.js';
import type { Frame, RequestHead } from '../src/wire/index.js';

const LIMIT_BYTES = 1_048_576;
const MAX_PIECES = 130;
const head = { ticket: 't1', customer: 'c1', service: 's1' } as RequestHead;

function recorded(pieces: Iterable<Buffer>): ReturnType<AnswerRecorder['answer']> {
  const recorder = new AnswerRecorder(head);
  recorder.start(200, []);
  for (const piece of pieces) recorder.data(piece);
  return recorder.answer();
}

function* repeated(text: string, times: number): Iterable<Buffer> {
  for (let time = 0; time < times; time += 1) yield Buffer.from(text);
}

/** Returns the payloads of the data frames of a replay. */
async function replayed(answer: ReturnType<typeof recorded>): Promise<readonly Buffer[]> {
  const payloads: Buffer[] = [];
  await replay(answer, {
    send: (body: NonNullable<Frame['body']>) => {
      if (body.$case === 'data') payloads.push(body.value.payload);
    },
    ready: () => undefined,
    wake: () => undefined,
    gone: new AbortController().signal,
  });
  return payloads;
}

test('the record of an answer in very small pieces does not grow with their number', async (t) => {
  const answer = recorded(repeated('x', LIMIT_BYTES));
  t.true(answer.pieceBytes.length < MAX_PIECES, `${answer.pieceBytes.length} pieces`);
  const payloads = await replayed(answer);
  t.is(payloads.length, answer.pieceBytes.length);
  t.is(Buffer.concat(payloads).toString(), 'x'.repeat(LIMIT_BYTES));
});

test('the replay of a stream splits no event', async (t) => {
  const event = `data: ${'x'.repeat(1000)}\n\n`;
  const payloads = await replayed(recorded(repeated(event, 100)));
  t.true(payloads.length > 1);
  for (const payload of payloads) t.true(payload.toString().endsWith('\n\n'));
  t.is(Buffer.concat(payloads).toString(), event.repeat(100));
});

test('an answer above the limit is recorded without its body', (t) => {
  const answer = recorded(repeated('x', LIMIT_BYTES + 1));
  t.true(answer.bodyDropped);
  t.is(answer.body.length, 0);
  t.deepEqual(answer.pieceBytes, []);
});

test('an empty answer is recorded as such', async (t) => {
  const answer = recorded([]);
  t.false(answer.bodyDropped);
  t.deepEqual(await replayed(answer), []);
});
