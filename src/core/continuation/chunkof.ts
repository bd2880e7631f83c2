import type { Chunk } from './chunk.js';

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isOptionalText(value: unknown): boolean {
  return value === undefined || value === null || typeof value === 'string';
}

function isChoice(choice: unknown): boolean {
  if (!isObject(choice)) return false;
  const { text, delta = {} } = choice;
  return isOptionalText(text) && isObject(delta) && isOptionalText(delta.content);
}

function isChunk(value: unknown): value is Chunk {
  if (!isObject(value)) return false;
  const { id, created, choices = [] } = value;
  const isNamed = isOptionalText(id) && (created === undefined || typeof created === 'number');
  return isNamed && Array.isArray(choices) && choices.every(isChoice);
}

/** Parses the data of an event as a chunk; undefined if it is none, such as `[DONE]`. */
export function chunkOf(data: string | undefined): Chunk | undefined {
  if (!data?.startsWith('{')) return undefined;
  try {
    const value: unknown = JSON.parse(data);
    return isChunk(value) ? value : undefined;
  } catch {
    return undefined;
  }
}
