import { foldText } from './foldtext.js';

/** Block size in characters: 16 tokens of 4 characters. */
const BLOCK_CHARS = 64;

/** Returns the hashes of a prompt's complete leading blocks. Each hash also covers all preceding blocks. */
export function splitBlocks(prompt: string): readonly number[] {
  const blocks: number[] = [];
  let hash: number | undefined;
  for (let end = BLOCK_CHARS; end <= prompt.length; end += BLOCK_CHARS) {
    hash = foldText(prompt.slice(end - BLOCK_CHARS, end), hash);
    blocks.push(hash);
  }
  return blocks;
}
