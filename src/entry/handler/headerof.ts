/** Returns the value of a header; undefined if the caller did not send it exactly once. */
export function headerOf(
  headers: Readonly<Record<string, string | readonly string[] | undefined>>,
  name: string,
): string | undefined {
  const value = headers[name];
  return typeof value === 'string' ? value : undefined;
}
