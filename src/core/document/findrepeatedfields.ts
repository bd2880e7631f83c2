import type { Node } from 'jsonc-parser';

/** A repeated field of an object. Parsers silently keep the last one. */
interface Repeated {
  readonly name: string;
  readonly offset: number;
}

/** Finds all fields that are repeated in an object. */
export function findRepeatedFields(tree: Node): readonly Repeated[] {
  const seen = new Set<unknown>();
  const found: Repeated[] = [];
  for (const child of tree.children ?? []) {
    if (child.type === 'property') {
      const [name, value] = child.children ?? [];
      if (seen.has(name?.value)) found.push({ name: String(name?.value), offset: child.offset });
      seen.add(name?.value);
      if (value) found.push(...findRepeatedFields(value));
    } else {
      found.push(...findRepeatedFields(child));
    }
  }
  return found;
}
