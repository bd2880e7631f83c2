import type { Ms } from './ms.js';

/** The longest delay of a timer of Node.js, 24.8 days; a longer one would fire at once. */
export const MAX_TIMER_MS: Ms = 2 ** 31 - 1;
