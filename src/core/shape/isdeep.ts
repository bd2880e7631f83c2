/** Levels of nesting that no record of this system or of its platform has: a configuration has six, a document eight. */
const MAX_LEVELS = 64;

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const LF = 0x0a;
const OPEN_ARRAY = 0x5b;
const CLOSE_ARRAY = 0x5d;
const OPEN_OBJECT = 0x7b;
const CLOSE_OBJECT = 0x7d;

/**
 * Returns true if the values of a JSON text are nested too deeply to be walked by recursion. Reads no further than to the
 * level beyond the limit.
 */
export function isDeep(text: string): boolean {
  let levels = 0;
  let isString = false;
  for (let at = 0; at < text.length; at += 1) {
    const code = text.charCodeAt(at);
    if (isString) {
      if (code === BACKSLASH) at += 1;
      // No string of JSON spans lines; a quote in a comment of a document opens none.
      else if (code === QUOTE || code === LF) isString = false;
    } else if (code === QUOTE) isString = true;
    else if (code === OPEN_ARRAY || code === OPEN_OBJECT) {
      levels += 1;
      if (levels > MAX_LEVELS) return true;
    } else if ((code === CLOSE_ARRAY || code === CLOSE_OBJECT) && levels > 0) levels -= 1;
  }
  return false;
}
