import { foldText } from './foldtext.js';
import { nextToken } from './nexttoken.js';

/** The whole answer to a prompt, as any stand-in engine gives it. */
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
