import type { LogLine } from './logline.js';

/** Parses a log line. Keeps the prefix that a log collector put before the JSON object. Undefined if there is none. */
export function parseLine(text: string): LogLine | undefined {
  const at = text.indexOf('{');
  if (at < 0) return undefined;
  try {
    const fields = JSON.parse(text.slice(at)) as Record<string, unknown>;
    const { message, timestamp } = fields;
    if (typeof message !== 'string') return undefined;
    const atMs = typeof timestamp === 'string' ? Date.parse(timestamp) : 0;
    return { message, atMs, from: text.slice(0, at).trim(), fields };
  } catch {
    return undefined;
  }
}
