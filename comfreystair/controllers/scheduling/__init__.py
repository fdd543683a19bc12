"""Order and admission of the requests that wait for one target."""
