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

test('a continued stream equals an uninterrupted one byte for byte', (t) => {
  const opening = event(0, { role: 'assistant', content: '' });
  const begun = [opening, event(1, { content: 'Dear ' }), event(2, { content: 'neighbour, ' })];
  const rest = [event(3, { content: 'moved' }), event(4, {}, usage(5, 4)), 'data: [DONE]\n\n'];
  const held = new HeldAnswer(1000);
  for (const sent of begun) held.add(Buffer.from(sent));
  const continuation = held.continuation();
  t.deepEqual(continuation, { text: 'Dear neighbour, ', tokenCount: 2, dataCount: 3 });
  const rewrite = continuedEvents(held.streamTemplate(), 2);
  const fromOther = [
    event(0, { role: 'assistant', content: '' }, OTHER),
    event(1, { content: 'moved' }, OTHER),
    event(2, {}, { ...OTHER, ...usage(7, 2) }),
    'data: [DONE]\n\n',
  ];
  const continued = fromOther.map((sent) => rewrite(Buffer.from(sent)).toString()).join('');
  t.is(continued, rest.join(''));
});

test('an answer that is too long, has several choices or calls tools cannot be continued', (t) => {
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

test('a finished generation is not continued, and only its stream has to be closed', (t) => {
  const held = new HeldAnswer(1000);
  const choices = [{ index: 0, delta: { content: 'end' }, finish_reason: 'stop' }];
  held.add(Buffer.from(event(0, {}, { choices })));
  t.true(held.hasEnded());
  t.is(held.continuation(), undefined);
});

test('the request to the next engine continues after the text, with a reduced token limit', (t) => {
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
