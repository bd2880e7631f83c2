import type { GenerationRequest } from './generationrequest.js';

/** Returns the text that generation continues from. */
export function promptOf(ask: GenerationRequest): string {
  if (ask.prompt !== undefined) return ask.prompt;
  const contents = (ask.messages ?? []).map(({ content }) => content);
  if (!ask.continue_final_message) return contents.join('\n');
  const partialAnswer = contents.pop() ?? '';
  return contents.join('\n') + partialAnswer;
}
