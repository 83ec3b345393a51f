/** `roarr` reads this variable when it is loaded, so it must be set by a module that is imported before it. */
process.env['ROARR_LOG'] ??= 'true';
