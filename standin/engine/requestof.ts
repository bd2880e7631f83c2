import type { Ask } from './ask.js';
import { countGenerated } from './countgenerated.js';
import type { EngineRequest } from './enginestate.js';
import { foldText } from './foldtext.js';
import { promptOf } from './promptof.js';
import { splitBlocks } from './splitblocks.js';

const CHARS_PER_TOKEN = 4;

/** A generation as the engine's core takes it; `tokens` make a whole answer. */
export function requestOf(
  ask: Ask,
  tokens: number,
  told: Pick<EngineRequest, 'key' | 'requestId' | 'priority'>,
): EngineRequest {
  const prompt = promptOf(ask);
  const left = Math.max(0, tokens - countGenerated(prompt));
  return {
    ...told,
    model: ask.model,
    textHash: foldText(prompt),
    blocks: splitBlocks(prompt),
    promptTokens: Math.ceil(prompt.length / CHARS_PER_TOKEN),
    made: 0,
    tokens: Math.min(ask.max_tokens ?? ask.max_completion_tokens ?? left, left),
    phase: 'waiting',
    imported: false,
  };
}
