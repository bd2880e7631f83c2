import { FileDirectory } from '../filedirectory.js';
import type { Context, Directory } from '../part/index.js';

/** The documents in force at this entry. */
export function createDirectory({ settings }: Context): Directory {
  return new FileDirectory(settings.documents);
}
