import type { GenerationRequest } from './generationrequest.js';
import { countGenerated } from './countgenerated.js';
import type { EngineRequest } from './enginestate.js';
import { foldText } from './foldtext.js';
import { promptOf } from './promptof.js';
import { splitBlocks } from './splitblocks.js';

const CHARS_PER_TOKEN = 4;

/** Converts a generation request to the form of the engine's core; `tokens` is the length of a complete answer. */
export function requestOf(
  ask: GenerationRequest,
  tokens: number,
  identity: Pick<EngineRequest, 'key' | 'requestId' | 'priority'>,
): EngineRequest {
  const prompt = promptOf(ask);
  const left = Math.max(0, tokens - countGenerated(prompt));
  return {
    ...identity,
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
