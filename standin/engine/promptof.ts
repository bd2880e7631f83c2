import type { Ask } from './ask.js';

/** The text that generation goes on from. */
export function promptOf(ask: Ask): string {
  if (ask.prompt !== undefined) return ask.prompt;
  const contents = (ask.messages ?? []).map(({ content }) => content);
  if (!ask.continue_final_message) return contents.join('\n');
  const begun = contents.pop() ?? '';
  return contents.join('\n') + begun;
}
