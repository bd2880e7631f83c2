import { PlatformServer } from '../../standin/platform/index.js';
import type { PlatformRig } from './platformrig.js';

/** What tests with engines that crash share. */
export const crashRig = {
  /** Returns engines in two availability zones that hold the same model. */
  engines(count: number): PlatformServer[] {
    return Array.from({ length: count }, (_, at) => {
      const server = new PlatformServer(`e${at + 1}`, 'engine', `z${(at % 2) + 1}`);
      server.models.set('m1', new Set());
      return server;
    });
  },

  crashCount: ({ servers }: PlatformRig): number => servers.filter(({ isDown }) => isDown).length,

  pause: (ms: number): Promise<void> =>
    new Promise((resolve) => {
      setTimeout(resolve, ms);
    }),
};
