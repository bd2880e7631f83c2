import { foldText } from './foldtext.js';

/** Characters of a block: sixteen tokens of four characters. */
const BLOCK_CHARS = 64;

/** Hashes of a prompt's whole leading blocks; each hash covers all blocks before it too. */
export function splitBlocks(prompt: string): readonly number[] {
  const blocks: number[] = [];
  let hash: number | undefined;
  for (let end = BLOCK_CHARS; end <= prompt.length; end += BLOCK_CHARS) {
    hash = foldText(prompt.slice(end - BLOCK_CHARS, end), hash);
    blocks.push(hash);
  }
  return blocks;
}
