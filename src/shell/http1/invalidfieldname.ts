/** A token of RFC 9110, section 5.6.2. */
const TOKEN = /^[!#$%&'*+\-.^_`|~\dA-Za-z]+$/;

/**
 * Returns the first name of a head that is no field name; `headers` alternates names and values. Some builds of Node's
 * parser accept spaces in a name, and the next server may read such a line as another field.
 */
export function invalidFieldName(headers: readonly string[]): string | undefined {
  for (let at = 0; at < headers.length; at += 2) {
    if (!TOKEN.test(headers[at]!)) return headers[at];
  }
  return undefined;
}
