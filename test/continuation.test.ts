import test from 'ava';
import { HeldAnswer, continuedEvents } from '../src/core/continuation/index.js';
import { continuedBody } from '../src/shell/engine/continuedbody.js';

function event(index: number, delta: object, more: object = {}): string {
  const chunk = { id: 'chatcmpl-1', created: 7, choices: [{ index: 0, delta }], ...more };
  return `id: ${index}\ndata: ${JSON.stringify(chunk)}\n\n`;
}

const OTHER = { id: 'chatcmpl-2', created: 9 };
const usage = (prompt: number, completion: number) => ({
  usage: { prompt_tokens: prompt, completion_tokens: completion, total_tokens: 9 },
});

test('a continued stream is the same as an unbroken one, byte for byte', (t) => {
  const opening = event(0, { role: 'assistant', content: '' });
  const begun = [opening, event(1, { content: 'Dear ' }), event(2, { content: 'neighbour, ' })];
  const rest = [event(3, { content: 'moved' }), event(4, {}, usage(5, 4)), 'data: [DONE]\n\n'];
  const held = new HeldAnswer(1000);
  for (const one of begun) held.add(Buffer.from(one));
  const continuation = held.continuation();
  t.deepEqual(continuation, { text: 'Dear neighbour, ', tokenCount: 2, dataCount: 3 });
  const rewrite = continuedEvents(held.common(), 2);
  const fromOther = [
    event(0, { role: 'assistant', content: '' }, OTHER),
    event(1, { content: 'moved' }, OTHER),
    event(2, {}, { ...OTHER, ...usage(7, 2) }),
    'data: [DONE]\n\n',
  ];
  const continued = fromOther.map((one) => rewrite(Buffer.from(one)).toString()).join('');
  t.is(continued, rest.join(''));
});

test('what is too long, has several choices or calls tools is not continued', (t) => {
  const long = new HeldAnswer(10);
  long.add(Buffer.from(event(0, { content: 'more than five letters' })));
  t.is(long.continuation(), undefined);
  const several = new HeldAnswer(1000);
  several.add(Buffer.from(event(0, {}, { choices: [{ index: 0 }, { index: 1 }] })));
  t.is(several.continuation(), undefined);
  const tools = new HeldAnswer(1000);
  tools.add(Buffer.from(event(0, { tool_calls: [{ id: 'call-1' }] })));
  t.is(tools.continuation(), undefined);
});

test('a generation that had finished is not continued, only closed', (t) => {
  const held = new HeldAnswer(1000);
  const choices = [{ index: 0, delta: { content: 'end' }, finish_reason: 'stop' }];
  held.add(Buffer.from(event(0, {}, { choices })));
  t.true(held.finished());
  t.is(held.continuation(), undefined);
});

test('an engine is told to go on after the text, with fewer tokens', (t) => {
  const continuation = { text: 'Dear ', tokenCount: 2, dataCount: 2 };
  const chat = JSON.stringify({ messages: [{ role: 'user', content: 'hi' }], max_tokens: 10 });
  const body = continuedBody('/v1/chat/completions', Buffer.from(chat), continuation);
  t.deepEqual(JSON.parse(String(body)), {
    messages: [
      { role: 'user', content: 'hi' },
      { role: 'assistant', content: 'Dear ' },
    ],
    max_tokens: 8,
    continue_final_message: true,
    add_generation_prompt: false,
  });
  const tokens = Buffer.from(JSON.stringify({ prompt: [1, 2] }));
  t.is(continuedBody('/v1/completions', tokens, continuation), undefined);
});
