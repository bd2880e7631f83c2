import { LineReader } from './linereader.js';
import type { StreamEvent } from './streamevent.js';
import { valueStart } from './valuestart.js';

const NAMES = { id: Buffer.from('id'), data: Buffer.from('data') };

function lineOf(bytes: Buffer, start: number, end: number): StreamEvent['lines'][number] {
  for (const name of ['data', 'id'] as const) {
    const valueAt = valueStart(bytes, start, end, NAMES[name]);
    if (valueAt !== undefined) return { name, text: bytes.toString('utf8', valueAt, end) };
  }
  return { name: undefined, text: bytes.toString('utf8', start, end) };
}

/** Reads the events of a payload, which holds complete ones only. */
export function eventsOf(payload: Buffer): readonly StreamEvent[] {
  const events: StreamEvent[] = [];
  let lines: StreamEvent['lines'][number][] = [];
  const reader = new LineReader((bytes, start, end) => {
    if (start === end) {
      if (lines.length > 0) events.push({ lines });
      lines = [];
      return;
    }
    lines.push(lineOf(bytes, start, end));
  });
  reader.read(payload);
  return events;
}
