/** Returns an event as engines send it: about 200 bytes, with the same size for the same id. */
export function tokenEvent(id: string): Buffer {
  const chunk = {
    id,
    object: 'chat.completion.chunk',
    created: 1_790_000_000,
    model: 'notice-1',
    choices: [{ index: 0, delta: { content: ' parcel42' }, finish_reason: null }],
  };
  return Buffer.from(`data: ${JSON.stringify(chunk)}\n\n`);
}
