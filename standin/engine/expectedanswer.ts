import { foldText } from './foldtext.js';
import { nextToken } from './nexttoken.js';

/** Returns the complete answer that every stand-in engine gives to this prompt. */
export function expectedAnswer(prompt: string, tokenCount: number): string {
  let hash = foldText(prompt);
  let answer = '';
  for (let index = 0; index < tokenCount; index += 1) {
    const token = nextToken(hash);
    hash = foldText(token, hash);
    answer += token;
  }
  return answer;
}
