import { findNodeAtLocation, type Node } from 'jsonc-parser';
import { position } from './position.js';

/**
 * Finds the line and column (from 1) of a JSON pointer's target: of the field's name if it is a field, else
 * of the value. If the target does not exist, uses the deepest existing part of the path.
 */
export function locate(
  text: string,
  tree: Node | undefined,
  pointer: string,
): { readonly line: number; readonly column: number } {
  const path: (string | number)[] = pointer
    .split('/')
    .slice(1)
    .map((part) => part.replaceAll('~1', '/').replaceAll('~0', '~'))
    .map((part) => (/^\d+$/.test(part) ? Number(part) : part));
  for (let depth = path.length; tree && depth >= 0; depth -= 1) {
    const node = findNodeAtLocation(tree, path.slice(0, depth));
    if (node) return position(text, (node.parent?.type === 'property' ? node.parent : node).offset);
  }
  return { line: 1, column: 1 };
}
