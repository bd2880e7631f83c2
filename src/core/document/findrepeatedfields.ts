import type { Node } from 'jsonc-parser';

/** A field that stands twice in one object, where parsers silently keep the last. */
interface Repeated {
  readonly name: string;
  readonly offset: number;
}

/** Finds all fields that stand twice in one object. */
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
